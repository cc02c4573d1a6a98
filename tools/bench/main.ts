/** Runs the named experiments, or all of them. Each has a bounded duration and writes its results to reports/. */

import { measureAdmission } from './admission.ts'
import { measureFold, measureIdleHosts } from './capacity.ts'
import { measurePath } from './path.ts'
import { measureRollouts } from './rollouts.ts'
import { measureSteps } from './steps.ts'
import type { Experiment } from './report.ts'
import { writeExperiment } from './report.ts'

const experiments: Readonly<Record<string, () => Promise<Experiment>>> = { fold: measureFold, resting: measureIdleHosts, path: measurePath, admission: measureAdmission, rollouts: measureRollouts, steps: measureSteps }

async function main (names: readonly string[]): Promise<void> {
  const unknown = names.filter((name) => experiments[name] === undefined)
  if (unknown.length > 0) throw new Error(`unknown experiment: ${unknown.join(', ')}; available experiments: ${Object.keys(experiments).join(', ')}`)
  for (const name of names.length > 0 ? names : Object.keys(experiments)) {
    const experiment = await experiments[name]?.()
    if (experiment === undefined) continue
    await writeExperiment(experiment)
    process.stdout.write(`${name}\n${JSON.stringify(experiment.figures, undefined, 1)}\n`)
  }
}

main(process.argv.slice(2)).then(() => process.exit(0), (error: unknown) => {
  process.stderr.write(`${String(error)}\n`)
  process.exit(1)
})
