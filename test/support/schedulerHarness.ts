/** A host that runs steps on engines whose client is written by the test, on a clock that the test advances. The topic of the steps is in memory. */

import { EngineRegistry } from '../../src/actors/common/steps/engineRegistry.ts'
import { ProgressStore } from '../../src/actors/common/steps/progressStore.ts'
import type { ScoreOutcome } from '../../src/actors/common/steps/sampleScorer.ts'
import { StepContents } from '../../src/actors/common/steps/stepContents.ts'
import { StepScheduler } from '../../src/actors/common/steps/stepScheduler.ts'
import { GroupAppender } from '../../src/actors/common/store/groupAppender.ts'
import { StepTopic } from '../../src/actors/common/store/stepTopic.ts'
import { TargetTable } from '../../src/actors/common/routes/targetTable.ts'
import { Emitter, toDisposable } from '../../src/base/common/lifecycle.ts'
import { allMechanisms } from '../../src/core/common/mechanisms.ts'
import type { Route } from '../../src/core/common/routes/routeConfiguration.ts'
import { RouteTable } from '../../src/core/common/routes/routeConfiguration.ts'
import type { ListedResult, SubmittedItem, TrainerSubmission } from '../../src/core/common/steps/step.ts'
import { submissionRecords } from '../../src/core/common/steps/stepRecords.ts'
import type { TargetClient } from '../../src/ports/common/targetClient.ts'
import { targetProtocol } from '../../platform/index.ts'
import { noopMetrics } from './fakeHost.ts'
import { ManualClock, newSeededChance } from './manualClock.ts'
import { MemoryKeyedLog } from './memoryKeyedLog.ts'
import { noContentHolders } from './noHolders.ts'
import { RecordedLog } from './recordedLog.ts'
import { newRoute, newTargetDefinition } from './routes.ts'
import { newSubmission } from './steps.ts'
import type { CrashGuards } from './targetEnds.ts'
import { newCrashGuards } from './targetEnds.ts'
import { ScriptedHistory } from './texts.ts'

/** Time until the topic delivers a record, in milliseconds. */
const READ_PERIOD_MS = 20

export class SchedulerHarness {
  readonly clock = new ManualClock()
  readonly log = new RecordedLog()
  readonly store = new MemoryKeyedLog()
  readonly history = new ScriptedHistory()
  readonly route: Route = newRoute({ kind: 'steps', host: 'steps.example', pathPrefix: '/steps/', destinations: [{ service: 'engines', weight: 1 }], attempts: 3 })
  readonly targets: TargetTable
  readonly guards: CrashGuards
  readonly contents: StepContents
  readonly board: EngineRegistry
  readonly scheduler: StepScheduler
  /** Scores samples; replaced by tests of failures. */
  score: () => Promise<ScoreOutcome> = async () => ({ type: 'scored', score: 'seal' })
  private readonly topic: StepTopic
  private readonly dutyChanges = new Emitter<void>()
  private holdsDuty = false

  /** @param memoryTokens memory of an engine by the configuration; none is configured if absent */
  constructor (createClient: (clock: ManualClock) => TargetClient, engines: readonly string[], memoryTokens?: number) {
    const { clock, store } = this
    const services = { clock, chance: newSeededChance(1), metrics: noopMetrics, stateLog: this.log }
    const client = createClient(clock)
    this.targets = new TargetTable(services)
    for (const id of engines) this.addEngine(id)
    const routes = new RouteTable({ version: 1, routes: [this.route], services: [{ name: 'engines', maximumConnections: 9, engine: { slots: 4, models: ['m'], memoryTokens } }], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
    const log = {
      append: store.append.bind(store),
      readSome: store.readSome.bind(store),
      newest: store.newest.bind(store),
      read: async (from: number, waitMs: number) => {
        if (waitMs > 0) await new Promise<void>((resolve) => { clock.after(READ_PERIOD_MS, resolve) })
        return await store.read(from)
      }
    }
    this.topic = new StepTopic({ ...services, log, onRegained: () => toDisposable(() => undefined) }, { name: 'steps', pace: () => ({ type: 'long-polls', waitMs: 1000, pauseMs: 0 }) })
    const appender = new GroupAppender({ ...services, log }, { maxCallCharacters: 1_000_000 })
    this.guards = newCrashGuards(this.targets, client, clock, { stateLog: this.log })
    this.contents = new StepContents({ ...services, log, appender, peerContent: noContentHolders })
    this.board = new EngineRegistry(this.targets, clock, () => routes)
    const harness = this
    this.scheduler = new StepScheduler({
      ...services,
      ...this.guards,
      client,
      protocol: targetProtocol,
      topic: this.topic,
      duty: { get holds () { return harness.holdsDuty }, term: 1, onChange: this.dutyChanges.event, onClaim: () => toDisposable(() => undefined) },
      board: this.board,
      appender,
      contents: this.contents,
      scorer: { score: async () => await this.score() },
      progress: new ProgressStore({ ...services, history: this.history }, { saveIntervalMs: 400, maxRecordBytes: 100_000, enabled: true }),
      routes: () => routes,
      version: () => undefined,
      assignedModel: () => 'm',
      mechanisms: { ...allMechanisms, head_starts: false },
      isRented: () => false
    }, { firstEventTimeoutMs: 1000, silenceTimeoutMs: 500 })
    this.topic.start()
  }

  addEngine (id: string): void {
    this.targets.set(newTargetDefinition({ id, service: 'engines', address: id, slots: 4, models: [{ model: 'm', version: 1 }] }))
  }

  /** Takes or loses the steps' duty. */
  setDuty (holds: boolean): void {
    this.holdsDuty = holds
    this.dutyChanges.fire()
  }

  submit (id: string, items: readonly SubmittedItem[], details: Partial<TrainerSubmission> = {}): void {
    const { payloads, outline } = submissionRecords(newSubmission(id, items, details), this.clock.wall(), 'n')
    this.store.write([...payloads, ...outline])
  }

  results (step: string): readonly ListedResult[] {
    return this.topic.step(step)?.results ?? []
  }

  /** Number of runs that count as running at each engine. */
  get running (): number[] {
    return this.board.all().map(({ running }) => running)
  }

  dispose (): void {
    this.scheduler.dispose()
    this.topic.dispose()
  }
}
