/**
 * Trainer idle time against staleness, over how far ahead generation may run: a trainer that takes
 * steps of a fixed number of samples and publishes weights after each.
 */

import type { Segment } from '../../src/core/common/fold/records.ts'
import type { Cluster } from '../../test/support/hostProcess.ts'
import { call, keys } from '../../test/support/hostProcess.ts'
import type { Platform } from '../../test/support/platform.ts'
import { startPlatform } from '../../test/support/platform.ts'
import type { Experiment } from './report.ts'
import { spread } from './report.ts'

const AHEAD = [16, 32, 64, 128] as const
const RUNS = 3
const STEPS = 8
const SAMPLES_A_STEP = 32
const GROUP = 4
const TRAIN_MS = 300
const STALENESS = 4

interface Outcome { readonly idleShare: number, readonly meanAge: number, readonly rejectedShare: number, readonly busyShare: number }

class Trainer {
  private submitted = 0
  private cursor = 0
  private held = 0
  private idleMs = 0
  private readonly ages: number[] = []
  version = 1

  constructor (private readonly cluster: Cluster, private readonly name: string, private readonly ahead: number) {}

  async run (): Promise<{ idleShare: number, meanAge: number }> {
    await this.step()
    const began = performance.now()
    this.idleMs = 0
    for (let step = 0; step < STEPS; step++) await this.step()
    return { idleShare: this.idleMs / (performance.now() - began), meanAge: this.ages.reduce((sum, age) => sum + age, 0) / this.ages.length }
  }

  private async step (): Promise<void> {
    await this.submit()
    const waiting = performance.now()
    while (this.held < SAMPLES_A_STEP) await this.pull()
    this.idleMs += performance.now() - waiting
    this.held -= SAMPLES_A_STEP
    await new Promise((resolve) => setTimeout(resolve, TRAIN_MS))
    this.version++
    await this.cluster.order(`load weights ${this.version} on pool drafter`)
  }

  /** Keeps twice as much submitted as may be generated ahead. */
  private async submit (): Promise<void> {
    const wanted = Math.max(2 * this.ahead, 2 * SAMPLES_A_STEP)
    const groups = Array.from({ length: Math.ceil(wanted / GROUP) }, () => ({ id: `g${this.submitted++}`, step: 0, prompt: `prompt ${this.name} ${this.submitted}`, samples: GROUP, issued_at: Date.now() }))
    await call(this.cluster.host(0).address, `/v1/subscriptions/${this.name}/groups`, { key: keys.trainer, body: { groups } })
  }

  private async pull (): Promise<void> {
    const answer = await call(this.cluster.host(1).address, `/v1/subscriptions/${this.name}/pull`, { key: keys.trainer, body: { cursor: this.cursor, version: this.version, maximum: SAMPLES_A_STEP - this.held, wait_ms: 1000 } })
    if (answer.status !== 200) return
    this.cursor = answer.body.cursor as number
    for (const { segments } of answer.body.samples as { segments: Segment[] }[]) {
      this.held++
      this.ages.push(this.version - Math.min(...segments.map(({ version }) => version)))
    }
  }
}

async function runOnce (platform: Platform, cluster: Cluster, name: string, ahead: number): Promise<Outcome> {
  await cluster.order(`create subscription ${name} pool drafter trainer trainer ahead ${ahead} staleness ${STALENESS} maximumTokens 100`)
  const busyBefore = platform.engines.map(({ engine }) => ({ share: engine.busyShare(), at: Date.now() }))
  const trainer = new Trainer(cluster, name, ahead)
  const [row] = await cluster.host(0).rows('show pools where name = drafter')
  trainer.version = Math.max(1, Number(row?.weights ?? 1))
  const began = Date.now()
  const { idleShare, meanAge } = await trainer.run()
  const [subscription] = await cluster.host(0).rows(`show subscriptions where name = ${name}`)
  await cluster.order(`remove subscription ${name}`)
  const busy = platform.engines.map(({ engine }, index) => {
    const before = busyBefore[index]
    const total = Date.now() - engine.started
    const earlier = (before?.at ?? 0) - engine.started
    return (engine.busyShare() * total - (before?.share ?? 0) * earlier) / Math.max(1, Date.now() - began)
  })
  const delivered = Number(subscription?.delivered)
  const rejected = Number(subscription?.rejected)
  return { idleShare, meanAge, rejectedShare: rejected / Math.max(1, rejected + delivered), busyShare: busy.reduce((sum, share) => sum + share, 0) / busy.length }
}

export async function measureRollouts (): Promise<Experiment> {
  const platform = await startPlatform({ engines: 4, engine: { slots: 4, stepMs: 12, answerTokens: 60, stragglers: 0.05, loadMs: 100 } })
  const cluster = await platform.startCluster([{ name: 'abdali-1', place: 'Abdali' }, { name: 'marka-1', place: 'Marka' }])
  try {
    await platform.configure(cluster)
    await cluster.order('load weights 1 on pool drafter')
    const figures: object[] = []
    const points: { series: string, x: number, y: number }[] = []
    for (const ahead of AHEAD) {
      const runs: Outcome[] = []
      for (let run = 0; run < RUNS; run++) runs.push(await runOnce(platform, cluster, `ahead-${ahead}-${run}`, ahead))
      const figure = { ahead, idleShare: spread(runs.map(({ idleShare }) => idleShare)), meanAge: spread(runs.map(({ meanAge }) => meanAge)), rejectedShare: spread(runs.map(({ rejectedShare }) => rejectedShare)), busyShare: spread(runs.map(({ busyShare }) => busyShare)) }
      figures.push(figure)
      points.push({ series: 'idle share', x: ahead, y: figure.idleShare.median }, { series: 'mean age in versions', x: ahead, y: figure.meanAge.median })
    }
    return { name: 'rollouts', figures: { samplesAStep: SAMPLES_A_STEP, trainMs: TRAIN_MS, staleness: STALENESS, outcomes: figures }, plot: { title: 'Trainer idle time against staleness', x: 'samples ahead', y: 'share, versions', mark: 'line', points } }
  } finally {
    await cluster.stop()
    await platform.close()
  }
}
