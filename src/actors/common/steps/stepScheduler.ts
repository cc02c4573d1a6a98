/**
 * Runs the steps while this host holds the duty: starts items on engines with free slots, has completed texts
 * scored, and writes the results. All durable state is in the steps' topic. A host that takes over the duty starts
 * from it, and if two hosts complete the same item, the order of records in the topic decides.
 */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import { DisposableStore } from '../../../base/common/lifecycle.ts'
import type { Route, RouteTable } from '../../../core/common/routes/routeConfiguration.ts'
import type { FoldedStep, StepChange } from '../../../core/common/steps/stepFold.ts'
import type { PhaseTimes } from '../../../core/common/steps/itemPhases.ts'
import { longItemThreshold, MoveConfirmation } from '../../../core/common/steps/engineChoice.ts'
import { ItemLengthEstimator } from '../../../core/common/steps/itemLengthEstimator.ts'
import { planItemOrder, submittedItemOrder } from '../../../core/common/steps/stepPlan.ts'
import { carriedOverGroups } from '../../../core/common/steps/wantedGroups.ts'
import type { ItemPayload, SampleResult } from '../../../core/common/steps/step.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { DutyLeaseManager } from '../duties/dutyLeaseManager.ts'
import type { Mechanisms } from '../../../core/common/mechanisms.ts'
import type { NamedVersion } from '../routes/operatorTopic.ts'
import type { GroupAppender } from '../store/groupAppender.ts'
import type { StepTopic } from '../store/stepTopic.ts'
import type { ModelLoadDemand } from '../weights/weightLoadController.ts'
import type { EngineRegistry, EngineCandidate } from './engineRegistry.ts'
import { HeadStarts } from './headStarts.ts'
import { ItemPlacement, refusableItem } from './itemPlacement.ts'
import type { SavedTexts } from './unfinishedTexts.ts'
import { UnfinishedTexts } from './unfinishedTexts.ts'
import type { ItemRunServices, RunOutcome } from './itemRun.ts'
import { itemRunEnd, runItem } from './itemRun.ts'
import { LeavingEngines } from './leavingEngines.ts'
import { ModelDemands } from './modelDemand.ts'
import type { ProgressStore } from './progressStore.ts'
import { ResultWriter } from './resultWriter.ts'
import type { SampleScorer } from './sampleScorer.ts'
import { slotDemands } from './slotDemands.ts'
import { inStartOrder } from './startQueue.ts'
import type { StepContents } from './stepContents.ts'
import { textReferenceOf } from './stepContents.ts'
import type { ItemWork, StepWork } from './stepWork.ts'
import { newItemWork, removeFrom } from './stepWork.ts'

export interface StepSchedulerServices extends ItemRunServices {
  readonly topic: StepTopic
  readonly duty: Pick<DutyLeaseManager, 'holds' | 'term' | 'onChange' | 'onClaim'>
  readonly board: EngineRegistry
  readonly appender: GroupAppender
  readonly contents: StepContents
  readonly scorer: Pick<SampleScorer, 'score'>
  readonly progress: ProgressStore
  readonly clock: Clock
  readonly metrics: Metrics
  readonly stateLog: StateLog
  readonly routes: () => RouteTable | undefined
  readonly version: (model: string) => NamedVersion | undefined
  /** Model that an engine is assigned to; the engine is preferred for items of that model. */
  readonly assignedModel: (engine: string) => string | undefined
  readonly mechanisms: Mechanisms
  /** Whether targets of a service are rented. */
  readonly isRented: (service: string) => boolean
}

export interface StepSchedulerSettings {
  readonly firstEventTimeoutMs: number
  readonly silenceTimeoutMs: number
}

/** Interval at which items are started and time limits are checked independently of events. */
const SCHEDULE_INTERVAL_MS = 50
/** Delay before payloads that the store did not deliver are read again. */
const PAYLOADS_RETRY_DELAY_MS = 200
/** Delay before an operation that ended with an unexpected error is repeated. */
const ERROR_RETRY_DELAY_MS = 1000

export class StepScheduler implements Disposable {
  private readonly disposables = new DisposableStore()
  private readonly works = new Map<string, StepWork>()
  private readonly modelDemands: ModelDemands
  private readonly unfinishedTexts: UnfinishedTexts
  private readonly placement: ItemPlacement
  private readonly headStarts: HeadStarts
  private readonly leavingEngines: LeavingEngines
  private readonly lengths = new ItemLengthEstimator()
  private readonly resultWriter: ResultWriter
  private stopping = false
  /** Defined while this host holds the duty. */
  private timer: Disposable | undefined
  private activeReading: Disposable | undefined

  constructor (private readonly services: StepSchedulerServices, private readonly settings: StepSchedulerSettings) {
    this.placement = new ItemPlacement(services)
    this.resultWriter = new ResultWriter(services)
    this.leavingEngines = new LeavingEngines({ ...services, placement: this.placement, lengths: this.lengths })
    this.modelDemands = new ModelDemands({ ...services, routeOf: (step) => this.routeOf(step) })
    this.unfinishedTexts = new UnfinishedTexts({ ...services, nonce: () => services.contents.nonce() })
    this.headStarts = new HeadStarts({ ...services, placement: this.placement, createText: () => this.unfinishedTexts.createText(), lengths: this.lengths, routeOf: (step) => this.routeOf(step) }, settings)
    this.disposables.add(services.topic.onChange((change) => { this.handleStepChange(change) }))
    this.disposables.add(services.duty.onChange(() => { this.handleDutyChange() }))
    this.disposables.add(services.duty.onClaim(() => { this.prefetch() }))
  }

  /** All items of the steps that run here. */
  get items (): ItemWork[] {
    return [...this.works.values()].flatMap(({ items }) => [...items.values()])
  }

  /** Number of items that are running, being scored or being written. */
  get activeItemCount (): number {
    return this.items.filter(({ state }) => state !== 'waiting').length
  }

  /** Returns the time that an item spent in each phase; `undefined` if this host does not run it. */
  phasesOf (step: string, item: string): PhaseTimes | undefined {
    return this.works.get(step)?.items.get(item)?.phases.times(this.services.clock.monotonic())
  }

  /** Returns what each model needs from the engines. */
  demands (): ModelLoadDemand[] {
    return this.modelDemands.all([...this.works.values()])
  }

  /** Returns the slots that the open steps need, by service. */
  slotDemands (): ReadonlyMap<string, number | undefined> {
    return slotDemands(this.works.values(), { clock: this.services.clock, lengths: this.lengths, routeOf: (step) => this.routeOf(step) })
  }

  /** Starts all items and head starts that can run now. */
  schedule (): void {
    if (!this.services.duty.holds || this.stopping) return
    const works = this.oldestFirst()
    this.headStarts.startPlanned(works.some(({ waiting }) => waiting.length > 0))
    this.startItems(works)
  }

  dispose (): void {
    this.timer?.dispose()
    this.dropAll()
    this.disposables.dispose()
  }

  private handleStepChange (change: StepChange): void {
    switch (change.type) {
      case 'accepted':
        this.modelDemands.recordAcceptedStep(change.step)
        if (this.services.duty.holds) this.adopt(change.step)
        return this.schedule()
      case 'listed': return this.dropItem(change.step.submission.id, change.result.item)
      case 'ended':
        this.headStarts.recordStepEnd(change.step)
        return this.dropStep(change.step.submission.id, 'ended')
      case 'forgotten': return this.dropStep(change.step, 'forgotten')
      case 'duty': return undefined
    }
  }

  private handleDutyChange (): void {
    this.timer?.dispose()
    this.activeReading?.dispose()
    if (!this.services.duty.holds) return this.dropAll()
    this.timer = this.services.clock.every(SCHEDULE_INTERVAL_MS, () => { this.runPeriodicChecks() })
    this.activeReading = this.services.topic.readWithoutPause()
    this.takeOver().catch((error: unknown) => { this.services.stateLog.alarm('steps not taken over', { error: String(error) }) })
  }

  /** Continues the steps of the former holder from the progress that it saved. */
  private async takeOver (): Promise<void> {
    const saved = await this.unfinishedTexts.loadSaved(this.openSteps().length > 0).catch((error: unknown): SavedTexts => {
      this.services.stateLog.alarm('progress of running items cannot be read', { error: String(error) })
      return new Map()
    })
    if (!this.services.duty.holds) return
    for (const step of this.openSteps()) this.adopt(step, saved)
    this.schedule()
  }

  /** Reads the data of the open steps while this host's claim of the duty is pending. Another host may win the duty. */
  private prefetch (): void {
    this.unfinishedTexts.readAhead(this.openSteps().length > 0)
    for (const step of this.openSteps()) {
      this.services.contents.prefetch(step).catch((error: unknown) => { this.services.stateLog.alarm('items of a step cannot be read', { step: step.submission.id, error: String(error) }) })
    }
  }

  private openSteps (): FoldedStep[] {
    return [...this.services.topic.steps()].filter((step) => !step.ended && step.results.length < step.items.size)
  }

  private adopt (step: FoldedStep, saved: SavedTexts = new Map()): void {
    const { submission } = step
    if (step.ended || this.works.has(submission.id)) return
    const carried = carriedOverGroups(step, this.services.topic.steps())
    const orderOf = this.services.mechanisms.step_order ? planItemOrder : submittedItemOrder
    const order = orderOf(submission, (group) => carried.has(group))
    const open = order.filter(({ item: { id } }) => !step.positions.has(id))
    const now = this.services.clock.monotonic()
    const waiting = open.map((planned) => newItemWork(planned, this.unfinishedTexts.createText(), now))
    const work: StepWork = { step, items: new Map(waiting.map((itemWork) => [itemWork.item.id, itemWork])), longItemMinTokens: longItemThreshold(submission.items), payloads: undefined, carriedGroups: carried, finished: new Map(), waiting, moveConfirmation: new MoveConfirmation() }
    this.works.set(submission.id, work)
    this.services.stateLog.decided('step adopted', { step: submission.id, number: submission.number, model: submission.model, minimumVersion: submission.minimumVersion, items: open.length, wantedGroups: submission.wantedGroups, term: this.services.duty.term })
    this.readPayloads(work, saved)
  }

  /** Reads the payloads of a step's items, then starts the items, which resume from their saved texts. */
  private readPayloads (work: StepWork, saved: SavedTexts): void {
    const id = work.step.submission.id
    const retryLater = (): void => { this.services.clock.after(PAYLOADS_RETRY_DELAY_MS, () => { if (this.works.get(id) === work) this.readPayloads(work, saved) }) }
    this.services.contents.payloads(work.step).then((payloads) => {
      if (this.works.get(id) !== work) return
      if (payloads === undefined) {
        this.services.stateLog.alarm('items of a step cannot be read', { step: id, keys: work.step.payloadKeys.length })
        return retryLater()
      }
      work.payloads = payloads
      const now = this.services.clock.monotonic()
      for (const { phases } of work.items.values()) phases.enter('waiting', now)
      for (const itemWork of [...work.waiting]) {
        this.unfinishedTexts.restore(work, itemWork, saved, this.routeOf(work.step)?.singleVersion === true, this.headStarts.consume(work, itemWork.item.id))
        this.reuseEarlierResult(work, itemWork)
      }
      this.schedule()
    }).catch((error: unknown) => {
      this.services.stateLog.alarm('items of a step cannot be read', { step: id, error: String(error) })
      if (work.payloads === undefined) retryLater()
    })
  }

  /** Reuses the text of an earlier step if its model versions are recent enough, and its score if the scorer request is the same. */
  private reuseEarlierResult (work: StepWork, itemWork: ItemWork): void {
    const { submission } = work.step
    const earlier = this.services.topic.earlierResult(itemWork.item.id, submission.id, submission.minimumVersion)
    if (earlier === undefined) return
    if (this.routeOf(work.step)?.singleVersion === true && earlier.result.versions.length > 1) return
    const { textKey, textAt, textFrom, ...result } = earlier.result
    const reference = textReferenceOf(earlier.result)
    if (reference === undefined) return
    removeFrom(work.waiting, itemWork)
    itemWork.state = 'scoring'
    itemWork.phases.enter('scoring', this.services.clock.monotonic())
    this.services.contents.texts(earlier.step, [reference]).then(([text]) => {
      if (itemWork.cancel.signal.aborted) return
      if (text === undefined) {
        this.requeue(work, itemWork, false)
        return this.schedule()
      }
      this.services.metrics.count('steps.reused')
      if (earlier.item.scoredBy === itemWork.item.scoredBy) this.resultWriter.write(work, itemWork, { ...result, text })
      else this.score(work, itemWork, { ...result, text, score: undefined })
    }).catch((error: unknown) => {
      this.services.stateLog.alarm('scoring failed', { item: itemWork.item.id, error: String(error) })
      if (itemWork.state === 'scoring' && !itemWork.cancel.signal.aborted) this.requeue(work, itemWork, false)
    })
  }

  private routeOf (step: FoldedStep): Route | undefined {
    return this.services.routes()?.findRoute(step.submission.host, step.submission.path)
  }

  /**
   * Starts waiting items of all steps. If no engine has a slot for one item of a step, the other items of that step are skipped;
   * if engines have slots, but none accepts an item of its size, those of the same size and above are skipped.
   */
  private startItems (works: readonly StepWork[]): void {
    const skippedFromTokens = new Map<StepWork, number>()
    const now = this.services.clock.monotonic()
    for (const { work, route, itemWork } of inStartOrder(works, (step) => this.routeOf(step), this.lengths, this.services.mechanisms.start_order)) {
      const payload = work.payloads?.get(itemWork.item.id)
      const { tokens } = itemWork.item
      if (payload === undefined || tokens >= (skippedFromTokens.get(work) ?? Number.POSITIVE_INFINITY) || !itemWork.backoff.mayStart(now)) continue
      const placement = this.placement.choose(work, route, itemWork)
      switch (placement.type) {
        case 'full':
          skippedFromTokens.set(work, Number.NEGATIVE_INFINITY)
          break
        case 'not-accepted':
          if (!itemWork.backoff.hasLostPrecedence) skippedFromTokens.set(work, tokens)
          break
        case 'engine':
          removeFrom(work.waiting, itemWork)
          this.start(work, route, itemWork, payload, placement.candidate)
      }
    }
  }

  private start (work: StepWork, route: Route, itemWork: ItemWork, payload: ItemPayload, candidate: EngineCandidate): void {
    const { engine } = candidate
    const { submission } = work.step
    const stopRun = new AbortController()
    const startedAt = this.services.clock.monotonic()
    itemWork.state = 'running'
    itemWork.runs++
    itemWork.runCancellation = stopRun
    itemWork.engine = engine
    itemWork.startedAt = startedAt
    itemWork.eventsAtStart = itemWork.text.events.length
    itemWork.phases.enter('starting', startedAt)
    const maxEventsAtStart = itemWork.text.maxEvents
    runItem(this.services, engine, itemWork.item, itemWork.text, {
      host: submission.host,
      workspace: submission.workspace,
      model: submission.model,
      minimumVersion: submission.minimumVersion,
      payload,
      firstEventTimeoutMs: this.settings.firstEventTimeoutMs,
      silenceTimeoutMs: this.settings.silenceTimeoutMs,
      cancelled: AbortSignal.any([itemWork.cancel.signal, stopRun.signal]),
      onFirstEvent: () => { itemWork.phases.enter('running', this.services.clock.monotonic()) }
    }).then((end) => {
      itemWork.engine = undefined
      if (stopRun.signal.aborted && end.type === 'broken') end = { type: 'moved' }
      itemWork.backoff.recordRun(itemRunEnd(end, engine, itemWork.text.maxEvents > maxEventsAtStart), this.services.clock.monotonic())
      if (!itemWork.cancel.signal.aborted) this.runEnded(work, route, itemWork, candidate, end, this.services.clock.monotonic() - startedAt)
      this.schedule()
    }).catch((error: unknown) => {
      this.services.stateLog.alarm('run of an item failed', { item: itemWork.item.id, error: String(error) })
      // Otherwise the item would belong to a run that has ended, and would never start again.
      if (itemWork.runCancellation === stopRun && hasNoRun(work, itemWork)) this.requeue(work, itemWork, false)
    })
  }

  private runEnded (work: StepWork, route: Route, itemWork: ItemWork, { engine }: EngineCandidate, end: RunOutcome, tookMs: number): void {
    const { submission } = work.step
    const { item, text } = itemWork
    this.services.metrics.timing('steps.run', tookMs)
    this.services.stateLog.decided('run ended', { item: item.id, step: submission.id, failed: end.type !== 'complete' && end.type !== 'moved', engine: engine.id, end: end.type, why: 'why' in end ? end.why : '', events: text.events.length, versions: text.versions.join(' '), run: itemWork.runs, tookMs: Math.round(tookMs) })
    switch (end.type) {
      case 'complete':
        engine.target.recordAnswerTime(tookMs)
        work.finished.set(item.id, text.events.length)
        this.lengths.recordItem(item.expectedTokens, text.events.length, itemWork.runs === 1 && itemWork.eventsAtStart === 0 ? tookMs : undefined)
        if (route.singleVersion && text.versions.length > 1) return this.requeue(work, itemWork, true)
        return this.score(work, itemWork, { item: item.id, state: 'complete', text: text.text, versions: text.versions.sort((a, b) => a - b), score: undefined })
      case 'refused':
      case 'rejected':
        engine.recordRefusal(refusableItem(work, itemWork))
        return this.requeueNotRun(work, itemWork)
      case 'unsendable': return this.requeueNotRun(work, itemWork)
      case 'moved':
      case 'too-old': return this.requeue(work, itemWork, false)
      case 'restarted': return this.requeue(work, itemWork, route.singleVersion)
      case 'broken':
        engine.target.recordFailure()
        this.services.client.retireConnections(engine.target.definition.address)
        return this.requeue(work, itemWork, route.singleVersion)
      case 'failed':
        itemWork.failures++
        if (itemWork.failures >= route.attempts) return this.recordItemAsLost(work, itemWork, `failed ${itemWork.failures} times on engines, route allows ${route.attempts} attempts`)
        return this.requeue(work, itemWork, true)
      case 'impossible': return this.recordItemAsLost(work, itemWork, 'the engine reported that the item can never be completed')
    }
  }

  /** Puts an item back that no engine has begun to run. Unless it ran before, it does not go before the other items of its step. */
  private requeueNotRun (work: StepWork, itemWork: ItemWork): void {
    itemWork.runs--
    this.requeue(work, itemWork, false)
  }

  /** Puts the item back at the front of the queue, as it is later than the other items, or at the end if engines keep crashing under it or refusing it. */
  private requeue (work: StepWork, itemWork: ItemWork, fromStart: boolean): void {
    if (fromStart) itemWork.text.clear()
    itemWork.state = 'waiting'
    itemWork.phases.enter('waiting', this.services.clock.monotonic())
    if (itemWork.backoff.hasLostPrecedence) work.waiting.push(itemWork)
    else work.waiting.unshift(itemWork)
  }

  private score (work: StepWork, itemWork: ItemWork, result: SampleResult): void {
    const scorer = work.payloads?.get(itemWork.item.id)?.scorer
    if (scorer === undefined) return this.resultWriter.write(work, itemWork, result)
    itemWork.state = 'scoring'
    itemWork.phases.enter('scoring', this.services.clock.monotonic())
    this.services.scorer.score(scorer, itemWork.cancel.signal).then((outcome) => {
      if (itemWork.cancel.signal.aborted) return
      if (outcome.type === 'scored') this.resultWriter.write(work, itemWork, { ...result, score: outcome.score })
      else this.recordItemAsLost(work, itemWork, 'the scorer failed as many times as its route allows attempts')
    }).catch((error: unknown) => {
      this.services.stateLog.alarm('scoring failed', { item: itemWork.item.id, error: String(error) })
      this.services.clock.after(ERROR_RETRY_DELAY_MS, () => { if (itemWork.state === 'scoring' && !itemWork.cancel.signal.aborted) this.score(work, itemWork, result) })
    })
  }

  private recordItemAsLost (work: StepWork, itemWork: ItemWork, why: string): void {
    const { item, text, runs } = itemWork
    this.services.metrics.count('steps.lost')
    this.services.stateLog.decided('item listed as lost', { item: item.id, step: work.step.submission.id, failed: true, why, runs, events: text.events.length })
    this.resultWriter.write(work, itemWork, { item: item.id, state: 'lost', text: '', versions: [], score: undefined })
  }

  private dropItem (step: string, item: string): void {
    const work = this.works.get(step)
    const itemWork = work?.items.get(item)
    if (work === undefined || itemWork === undefined) return
    itemWork.cancel.abort()
    work.items.delete(item)
    removeFrom(work.waiting, itemWork)
    if (work.items.size > 0) return
    this.works.delete(step)
    this.services.stateLog.decided('step whole', { step, number: work.step.submission.number })
  }

  private dropStep (step: string, why: string): void {
    const work = this.works.get(step)
    if (work === undefined) return
    this.unfinishedTexts.retain(work)
    this.services.stateLog.decided('step dropped', { step, why, open: work.items.size, waiting: work.waiting.length })
    for (const { cancel } of work.items.values()) cancel.abort()
    this.works.delete(step)
    this.schedule()
  }

  private dropAll (): void {
    this.headStarts.cancelAll()
    for (const step of [...this.works.keys()]) this.dropStep(step, 'duty lost')
  }

  /** Expires steps that exceed their retention time and starts items that can run without a preceding event. */
  private runPeriodicChecks (): void {
    if (!this.services.duty.holds) return
    this.headStarts.replan(this.oldestFirst())
    if (this.works.size === 0) return
    const now = this.services.clock.wall()
    for (const work of [...this.works.values()]) {
      const route = this.routeOf(work.step)
      if (route !== undefined && now - work.step.submittedAt > route.retentionMs) this.expireStep(work)
      if (route !== undefined) this.leavingEngines.moveItems(work, route)
      if (route !== undefined) this.moveToFasterEngine(work, route)
    }
    this.schedule()
    this.unfinishedTexts.save(this.works.values()).catch((error: unknown) => { this.services.stateLog.alarm('progress not saved', { error: String(error) }) })
  }

  /** Returns the active steps, oldest first. */
  private oldestFirst (): StepWork[] {
    return [...this.works.values()].sort((a, b) => a.step.submittedAt - b.step.submittedAt)
  }

  /** Moves one run to a faster engine. Not done for routes that require a single version, as their texts would have to start over. */
  private moveToFasterEngine (work: StepWork, route: Route): void {
    if (route.singleVersion) return
    const now = this.services.clock.monotonic()
    const move = this.placement.nextMove(work, route, now)
    if (move === undefined) return
    const { itemWork, current, faster } = move
    this.services.stateLog.decided('run moved to a faster engine', { item: itemWork.item.id, step: work.step.submission.id, engine: current.id, slowness: current.observedSlowness, to: faster.id, toSlowness: faster.slowness, lastedMs: Math.round(now - itemWork.startedAt), events: itemWork.text.events.length })
    itemWork.state = 'waiting'
    itemWork.runCancellation?.abort()
  }

  /** Saves all progress before another host takes over. */
  async handOver (): Promise<void> {
    this.stopping = true
    this.headStarts.cancelAll()
    await this.unfinishedTexts.save(this.works.values(), true)
  }

  private expireStep (work: StepWork): void {
    for (const itemWork of work.items.values()) {
      if (itemWork.state === 'listing') continue
      itemWork.cancel.abort()
      removeFrom(work.waiting, itemWork)
      // Aborts the item's current run or scoring. The new work object has its own signal, so that writing the result continues until the step is dropped.
      const expired: ItemWork = { ...itemWork, cancel: new AbortController() }
      work.items.set(itemWork.item.id, expired)
      this.recordItemAsLost(work, expired, 'the retention time of its step is over')
    }
  }
}

/** Returns whether an item waits for a run without being in the queue of its step. */
function hasNoRun ({ waiting }: StepWork, itemWork: ItemWork): boolean {
  return (itemWork.state === 'running' || itemWork.state === 'waiting') && !itemWork.cancel.signal.aborted && !waiting.includes(itemWork)
}
