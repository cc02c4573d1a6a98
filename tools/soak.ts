/** Runs the soak test with many seeds, several in parallel: npm run soak -- --from 100 --seeds 50 --parallel 2 */

import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { runSoak } from '../test/soak/soak.ts'

const options = await yargs(hideBin(process.argv))
  .option('from', { type: 'number', default: Date.now() % 1_000_000, describe: 'first seed' })
  .option('seeds', { type: 'number', default: 10 })
  .option('parallel', { type: 'number', default: 1 })
  .option('hosts', { type: 'number', default: 4 })
  .option('seconds', { type: 'number', default: 12, describe: 'time span in which faults are injected' })
  .option('faults', { type: 'number', default: 20 })
  .option('fatal', { type: 'boolean', default: false, describe: 'include a request that crashes its targets' })
  .option('keys', { type: 'boolean', default: false, describe: 'include callers whose keys are issued and revoked, and usage reports' })
  .strict()
  .parse()

let nextSeed = options.from
let failed = 0
async function runSeeds (): Promise<void> {
  while (nextSeed < options.from + options.seeds) {
    const seed = nextSeed++
    const { violations, answered, steps } = await runSoak({ seed, hosts: options.hosts, lengthMs: options.seconds * 1000, faults: options.faults, fatal: options.fatal, keys: options.keys })
    if (violations.length > 0) failed++
    process.stdout.write(`seed ${seed}: ${answered} answers, ${steps} steps, ${violations.length === 0 ? 'passed' : `failed, see reports/soak-${seed}\n  ${violations.join('\n  ')}`}\n`)
  }
}
await Promise.all(Array.from({ length: options.parallel }, runSeeds))
process.stdout.write(`${options.seeds - failed} of ${options.seeds} seeds passed\n`)
process.exitCode = failed === 0 ? 0 : 1
