/** Plays the soak with many seeds, some at once: npm run soak -- --from 100 --seeds 50 --parallel 2 */

import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { soak } from '../test/soak/soak.ts'

const options = await yargs(hideBin(process.argv))
  .option('from', { type: 'number', default: Date.now() % 1_000_000, describe: 'first seed' })
  .option('seeds', { type: 'number', default: 10 })
  .option('parallel', { type: 'number', default: 1 })
  .option('hosts', { type: 'number', default: 4 })
  .option('seconds', { type: 'number', default: 12, describe: 'time in which faults begin' })
  .option('faults', { type: 'number', default: 20 })
  .option('fatal', { type: 'boolean', default: false, describe: 'with a request that ends its targets' })
  .option('keys', { type: 'boolean', default: false, describe: 'with keys of callers that come and go, and usage reports' })
  .strict()
  .parse()

let next = options.from
let failed = 0
async function play (): Promise<void> {
  while (next < options.from + options.seeds) {
    const seed = next++
    const { violations, answered, steps } = await soak({ seed, hosts: options.hosts, lengthMs: options.seconds * 1000, faults: options.faults, fatal: options.fatal, keys: options.keys })
    if (violations.length > 0) failed++
    process.stdout.write(`seed ${seed}: ${answered} answers, ${steps} steps, ${violations.length === 0 ? 'in order' : `broken, see reports/soak-${seed}\n  ${violations.join('\n  ')}`}\n`)
  }
}
await Promise.all(Array.from({ length: options.parallel }, play))
process.stdout.write(`${options.seeds - failed} of ${options.seeds} seeds in order\n`)
process.exitCode = failed === 0 ? 0 : 1
