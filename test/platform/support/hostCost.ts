/**
 * Measures what one host among many costs without callers: processor time, calls to the store and records read, each per second
 * and host. It starts real host processes on loopback against the stand-in of the platform's store, with target entries in
 * which only the heartbeat counter changes, and one host that holds and renews the duty of the steps.
 *
 * Usage: tsx test/platform/support/hostCost.ts [hosts] [seconds] [targets] [profile folder]. Prints one line of JSON. With a folder, one host
 * that does not hold the duty runs with `--cpu-prof` and writes its profile there.
 */

import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { stringify } from 'smol-toml'
import { configuration } from './fleet.ts'
import { StoreStandIn } from './storeStandIn.ts'
import { HostProcess, PROGRAM, freePorts, waitUntil } from '../../support/hostProcess.ts'

const ENTRY_PERIOD_MS = 1200
/** Time for the hosts to know each other and for their start-up reads to end. */
const WARM_UP_MS = 15_000
/** Ticks per second of the times in /proc/PID/stat. */
const TICKS_PER_SECOND = 100

const [hostCount = 30, seconds = 20, targetCount = 45] = process.argv.slice(2, 5).map(Number)
const profileFolder = process.argv[5]
/** Settings that replace the defaults, as JSON by table, for trials. */
const overrides = JSON.parse(process.env['HOST_COST_SETTINGS'] ?? '{}') as { store?: object, membership?: object }

/** Processor time of a process in seconds. */
function processorSeconds (pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').replace(/^.*\) /, '').split(' ')
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND
}

function writeTargets (store: StoreStandIn): () => void {
  const sequences = Array.from({ length: targetCount }, () => 0)
  const write = (index: number): void => {
    const isEngine = index < targetCount * 31 / 45
    const models = isEngine ? { stage: 'both', models: [{ name: 'm', version: 1, adapters: [] }, { name: 'n', version: 1, adapters: [] }] } : {}
    sequences[index] = (sequences[index] ?? 0) + 1
    store.put('keyed.servers', `servers/target-${index}`, { service: isEngine ? 'engines' : 'app', addr: `127.0.0.1:${index + 1}`, zone: `place-${index % 4}`, version: 'v1', slots: 6, state: 'ready', cold_left_ms: 0, seq: sequences[index], born: 1_700_000_000_000 + index, ...models })
  }
  const timers: NodeJS.Timeout[] = []
  for (let index = 0; index < targetCount; index++) {
    write(index)
    timers.push(setTimeout(() => { timers.push(setInterval(() => { write(index) }, ENTRY_PERIOD_MS)) }, index * ENTRY_PERIOD_MS / targetCount))
  }
  return () => { for (const timer of timers) clearInterval(timer) }
}

interface Counts {
  readonly calls: number
  readonly byCall: Readonly<Record<string, number>>
  readonly records: number
}

function countCalls (store: StoreStandIn): Counts {
  const byCall: Record<string, number> = {}
  for (const call of store.callTopics) byCall[call] = (byCall[call] ?? 0) + 1
  return { calls: store.callTopics.length, byCall, records: store.recordsRead }
}

async function measure (): Promise<void> {
  const store = new StoreStandIn()
  const folder = mkdtempSync(join(tmpdir(), 'host-cost-'))
  const ip = (index: number): string => `127.0.2.${index + 1}`
  const [callers = 0, readiness = 0, peers = 0, directory = 0] = await freePorts(4, Array.from({ length: hostCount }, (_, index) => ip(index)))
  store.put('keyed.op', 'config', configuration(1))
  const stopTargets = writeTargets(store)
  const hosts = await Promise.all(Array.from({ length: hostCount }, async (_, index) => {
    const endpoint = await store.openEndpoint()
    const settingsPath = join(folder, `host-${index}.toml`)
    writeFileSync(settingsPath, stringify({
      host: { name: `host-${index}`, place: `place-${index % 4}` },
      listen: { callers: `${ip(index)}:${callers}`, readiness: `${ip(index)}:${readiness}`, peers: `${ip(index)}:${peers}`, directory: `${ip(index)}:${directory}` },
      store: { address: endpoint.address, ...overrides.store },
      peers: { key: 'between-the-hosts' },
      membership: { seeds: [`http://${ip(0)}:${peers}`, `http://${ip(1)}:${peers}`], ...overrides.membership },
      identity: { revocation: 4000 }
    }))
    const [command = '', ...rest] = PROGRAM
    const program = profileFolder !== undefined && index === hostCount - 1 ? [command, '--cpu-prof', `--cpu-prof-dir=${profileFolder}`, ...rest] : PROGRAM
    const host = new HostProcess(`host-${index}`, '', '', settingsPath, program)
    host.start()
    return host
  }))
  try {
    await waitUntil(() => hosts.every(({ output }) => output.includes('listening')), 60_000, 'all hosts listen')
    await new Promise((resolve) => setTimeout(resolve, WARM_UP_MS))
    const before = countCalls(store)
    const processorBefore = hosts.map(({ pid }) => processorSeconds(pid))
    const startedAt = performance.now()
    await new Promise((resolve) => setTimeout(resolve, seconds * 1000))
    const elapsed = (performance.now() - startedAt) / 1000
    const after = countCalls(store)
    const processor = hosts.map(({ pid }, index) => (processorSeconds(pid) - (processorBefore[index] ?? 0)) / elapsed)
    const perHost = (count: number): number => Math.round(count / elapsed / hostCount * 1000) / 1000
    const byCall = Object.fromEntries(Object.entries(after.byCall).map(([call, count]) => [call, perHost(count - (before.byCall[call] ?? 0))]))
    const sorted = [...processor].sort((a, b) => a - b)
    process.stdout.write(`${JSON.stringify({
      hosts: hostCount,
      targets: targetCount,
      seconds: Math.round(elapsed),
      callsPerSecond: perHost(after.calls - before.calls),
      byCall,
      recordsPerSecond: perHost(after.records - before.records),
      processor: Math.round(processor.reduce((sum, share) => sum + share, 0) / hostCount * 10_000) / 10_000,
      medianProcessor: Math.round((sorted[Math.floor(hostCount / 2)] ?? 0) * 10_000) / 10_000,
      maximumProcessor: Math.round((sorted.at(-1) ?? 0) * 10_000) / 10_000,
      logLines: hosts.reduce((sum, { output }) => sum + output.split('\n').length - 1, 0)
    })}\n`)
    if (profileFolder !== undefined) {
      hosts.at(-1)?.terminate()
      await hosts.at(-1)?.waitForExit()
    }
  } finally {
    stopTargets()
    await Promise.all(hosts.map(async (host) => { await host.kill() }))
    await store.close()
    rmSync(folder, { recursive: true, force: true })
  }
}

await measure()
process.exit(0)
