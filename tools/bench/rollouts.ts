/**
 * Measures the trade-off between trainer idle time and staleness of samples, by the number of samples that may
 * be generated ahead. The trainer consumes a fixed number of samples per step and publishes weights after each.
 */

import type { Segment } from '../../src/core/common/fold/records.ts'
import type { Cluster } from '../../test/support/hostProcess.ts'
import { call, keys } from '../../test/support/hostProcess.ts'
import type { TestPlatform } from '../../test/support/platform.ts'
import { startTestPlatform } from '../../test/support/platform.ts'
import type { Experiment } from './report.ts'
import { spread } from './report.ts'

const AHEAD_LIMITS = [16, 32, 64, 128] as const
const RUNS_PER_LIMIT = 3
const STEP_COUNT = 8
const SAMPLES_PER_STEP = 32
const GROUP_SIZE = 4
const TRAINING_TIME_MS = 300
const MAX_STALENESS = 4

interface RunOutcome { readonly idleShare: number, readonly meanAge: number, readonly rejectedShare: number, readonly busyShare: number }

class Trainer {
  private submitted = 0
  private cursor = 0
  private held = 0
  private idleMs = 0
  private readonly sampleAges: number[] = []
  version = 1

  constructor (private readonly cluster: Cluster, private readonly name: string, private readonly ahead: number) {}

  async run (): Promise<{ idleShare: number, meanAge: number }> {
    await this.step()
    const began = performance.now()
    this.idleMs = 0
    for (let step = 0; step < STEP_COUNT; step++) await this.step()
    return { idleShare: this.idleMs / (performance.now() - began), meanAge: this.sampleAges.reduce((sum, age) => sum + age, 0) / this.sampleAges.length }
  }

  private async step (): Promise<void> {
    await this.submit()
    const waitStartedAt = performance.now()
    while (this.held < SAMPLES_PER_STEP) await this.pull()
    this.idleMs += performance.now() - waitStartedAt
    this.held -= SAMPLES_PER_STEP
    await new Promise((resolve) => setTimeout(resolve, TRAINING_TIME_MS))
    this.version++
    await this.cluster.execute(`load weights ${this.version} on pool drafter`)
  }

  /** Submits twice as many samples as may be generated ahead, but at least those of two steps. */
  private async submit (): Promise<void> {
    const wanted = Math.max(2 * this.ahead, 2 * SAMPLES_PER_STEP)
    const groups = Array.from({ length: Math.ceil(wanted / GROUP_SIZE) }, () => ({ id: `g${this.submitted++}`, step: 0, prompt: `prompt ${this.name} ${this.submitted}`, samples: GROUP_SIZE, issued_at: Date.now() }))
    await call(this.cluster.host(0).address, `/v1/subscriptions/${this.name}/groups`, { key: keys.trainer, body: { groups } })
  }

  private async pull (): Promise<void> {
    const answer = await call(this.cluster.host(1).address, `/v1/subscriptions/${this.name}/pull`, { key: keys.trainer, body: { cursor: this.cursor, version: this.version, maximum: SAMPLES_PER_STEP - this.held, wait_ms: 1000 } })
    if (answer.status !== 200) return
    this.cursor = answer.body.cursor as number
    for (const { segments } of answer.body.samples as { segments: Segment[] }[]) {
      this.held++
      this.sampleAges.push(this.version - Math.min(...segments.map(({ version }) => version)))
    }
  }
}

async function runOnce (platform: TestPlatform, cluster: Cluster, name: string, ahead: number): Promise<RunOutcome> {
  await cluster.execute(`create subscription ${name} pool drafter trainer trainer ahead ${ahead} staleness ${MAX_STALENESS} maximumTokens 100`)
  const busyBefore = platform.engines.map(({ engine }) => ({ share: engine.busyShare(), at: Date.now() }))
  const trainer = new Trainer(cluster, name, ahead)
  const [row] = await cluster.host(0).rows('show pools where name = drafter')
  trainer.version = Math.max(1, Number(row?.weights ?? 1))
  const began = Date.now()
  const { idleShare, meanAge } = await trainer.run()
  const [subscription] = await cluster.host(0).rows(`show subscriptions where name = ${name}`)
  await cluster.execute(`remove subscription ${name}`)
  const busyShares = platform.engines.map(({ engine }, index) => {
    const before = busyBefore[index]
    const elapsedMs = Date.now() - engine.startedAt
    const elapsedBeforeMs = (before?.at ?? 0) - engine.startedAt
    return (engine.busyShare() * elapsedMs - (before?.share ?? 0) * elapsedBeforeMs) / Math.max(1, Date.now() - began)
  })
  const delivered = Number(subscription?.delivered)
  const rejected = Number(subscription?.rejected)
  return { idleShare, meanAge, rejectedShare: rejected / Math.max(1, rejected + delivered), busyShare: busyShares.reduce((sum, share) => sum + share, 0) / busyShares.length }
}

export async function measureRollouts (): Promise<Experiment> {
  const platform = await startTestPlatform({ engines: 4, engine: { slots: 4, stepMs: 12, answerTokens: 60, stragglers: 0.05, loadMs: 100 } })
  const cluster = await platform.startCluster([{ name: 'abdali-1', place: 'Abdali' }, { name: 'marka-1', place: 'Marka' }])
  try {
    await platform.configure(cluster)
    await cluster.execute('load weights 1 on pool drafter')
    const figures: object[] = []
    const points: { series: string, x: number, y: number }[] = []
    for (const ahead of AHEAD_LIMITS) {
      const runs: RunOutcome[] = []
      for (let run = 0; run < RUNS_PER_LIMIT; run++) runs.push(await runOnce(platform, cluster, `ahead-${ahead}-${run}`, ahead))
      const figure = { ahead, idleShare: spread(runs.map(({ idleShare }) => idleShare)), meanAge: spread(runs.map(({ meanAge }) => meanAge)), rejectedShare: spread(runs.map(({ rejectedShare }) => rejectedShare)), busyShare: spread(runs.map(({ busyShare }) => busyShare)) }
      figures.push(figure)
      points.push({ series: 'idle share', x: ahead, y: figure.idleShare.median }, { series: 'mean age in versions', x: ahead, y: figure.meanAge.median })
    }
    return { name: 'rollouts', figures: { samplesAStep: SAMPLES_PER_STEP, trainMs: TRAINING_TIME_MS, staleness: MAX_STALENESS, outcomes: figures }, plot: { title: 'Trainer idle time against staleness', x: 'samples ahead', y: 'share, versions', mark: 'line', points } }
  } finally {
    await cluster.stop()
    await platform.close()
  }
}
