/** Runs one stand-in as a process and prints its address. Usage: `standins KIND PORT [OPTIONS as JSON]`. */

import type { EngineOptions } from './engine.ts'
import { startEngine } from './engine.ts'
import type { StandIn } from './httpStandIn.ts'
import { startLog } from './log.ts'
import { startHostList, startScorer, startService, startWeightStore } from './service.ts'

async function start (kind: string, port: number, options: Record<string, unknown>): Promise<StandIn> {
  switch (kind) {
    case 'log': return await startLog(port)
    case 'engine': return await startEngine(options as Partial<EngineOptions>, port)
    case 'service': return await startService(port)
    case 'scorer': return await startScorer(Number(options.delayMs ?? 5), port)
    case 'weight-store': return await startWeightStore(Number(options.perSecond ?? 4), port)
    case 'host-list': return await startHostList(Number(options.lagMs ?? 1000), port)
    default: throw new Error(`unknown kind of stand-in: ${kind}`)
  }
}

const [kind = '', port = '0', options = '{}'] = process.argv.slice(2)
start(kind, Number(port), JSON.parse(options) as Record<string, unknown>).then(
  ({ address }) => { process.stdout.write(`${address}\n`) },
  (error: unknown) => {
    process.stderr.write(`${String(error)}\n`)
    process.exitCode = 1
  }
)
