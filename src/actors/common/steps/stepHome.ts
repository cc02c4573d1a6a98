/**
 * Runs the steps while this host holds the duty: starts items on engines with free slots, has
 * finished texts scored, and lists results. Everything that must last is in the steps' topic; a
 * host that takes the duty over starts from there, and what two hosts finish twice the topic decides.
 */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import { DisposableStore } from '../../../base/common/lifecycle.ts'
import type { Route, RouteTable } from '../../../core/common/routes/routeConfiguration.ts'
import type { FoldedStep, StepChange } from '../../../core/common/steps/stepFold.ts'
import type { PhaseTimes } from '../../../core/common/steps/itemPhases.ts'
import { longItemThreshold } from '../../../core/common/steps/engineChoice.ts'
import { ItemLengthEstimator } from '../../../core/common/steps/itemLengthEstimator.ts'
import { planItemOrder, submittedItemOrder } from '../../../core/common/steps/stepPlan.ts'
import { carriedOverGroups } from '../../../core/common/steps/wantedGroups.ts'
import type { ItemPayload, SampleResult } from '../../../core/common/steps/step.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { DutyKeeper } from '../duties/dutyKeeper.ts'
import type { Mechanisms } from '../../../core/common/mechanisms.ts'
import type { HeldRequests } from '../routes/heldRequests.ts'
import type { NamedVersion } from '../routes/operatorTopic.ts'
import type { GroupAppender } from '../store/groupAppender.ts'
import type { StepTopic } from '../store/stepTopic.ts'
import type { ModelWork } from '../weights/engineOrders.ts'
import type { EngineBoard, EngineCandidate } from './engineBoard.ts'
import { HeadStarts } from './headStarts.ts'
import { ItemPlacement } from './itemPlacement.ts'
import type { SavedTexts } from './heldTexts.ts'
import { HeldTexts } from './heldTexts.ts'
import { ItemGate } from './itemGate.ts'
import type { ItemRunServices, RunEnd } from './itemRun.ts'
import { runItem } from './itemRun.ts'
import { ModelDemands } from './modelDemand.ts'
import type { ProgressKeeper } from './progressKeeper.ts'
import { ResultLister } from './resultLister.ts'
import type { SampleScorer } from './sampleScorer.ts'
import { inStartOrder } from './startQueue.ts'
import type { StepContents } from './stepContents.ts'
import { referenceOf } from './stepContents.ts'
import type { ItemWork, StepWork } from './stepWork.ts'
import { newWork, removeFrom } from './stepWork.ts'

export interface StepHomeServices extends ItemRunServices {
  readonly topic: StepTopic
  readonly duty: DutyKeeper
  readonly board: EngineBoard
  readonly appender: GroupAppender
  readonly contents: StepContents
  readonly scorer: SampleScorer
  readonly progress: ProgressKeeper
  readonly clock: Clock
  readonly metrics: Metrics
  readonly stateLog: StateLog
  readonly routes: () => RouteTable | undefined
  readonly version: (model: string) => NamedVersion | undefined
  /** Model that an engine follows; it is preferred for items of that model. */
  readonly follows: (engine: string) => string | undefined
  readonly mechanisms: Mechanisms
  readonly held: HeldRequests
}

export interface StepHomeSettings {
  readonly firstEventMs: number
  readonly silenceMs: number
}

/** Time between two looks for what no event has started, in milliseconds. */
const LOOK_MS = 50
/** Pause before payloads that the store did not give are asked for again, in milliseconds. */
const PAYLOADS_RETRY_MS = 200

export class StepHome implements Disposable {
  private readonly disposables = new DisposableStore()
  private readonly works = new Map<string, StepWork>()
  private readonly modelDemands: ModelDemands
  private readonly texts: HeldTexts
  private readonly placement: ItemPlacement
  private readonly gate: ItemGate
  private readonly headStarts: HeadStarts
  private readonly lengths = new ItemLengthEstimator()
  private readonly lister: ResultLister
  private stopping = false
  /** Present while this host holds the duty. */
  private timer: Disposable | undefined
  private reading: Disposable | undefined

  constructor (private readonly services: StepHomeServices, private readonly settings: StepHomeSettings) {
    this.placement = new ItemPlacement(services)
    this.gate = new ItemGate({ ...services, onAdmitted: () => { this.schedule() } })
    this.lister = new ResultLister(services)
    this.modelDemands = new ModelDemands({ ...services, routeOf: (step) => this.routeOf(step) })
    this.texts = new HeldTexts({ ...services, nonce: () => services.contents.nonce() })
    this.headStarts = new HeadStarts({ ...services, placement: this.placement, gate: this.gate, newText: () => this.texts.begin(), lengths: this.lengths, routeOf: (step) => this.routeOf(step) }, settings)
    this.disposables.add(services.topic.onChange((change) => { this.take(change) }))
    this.disposables.add(services.duty.onChange(() => { this.dutyChanged() }))
    this.disposables.add(services.duty.onClaim(() => { this.prepare() }))
  }

  /** All items of the steps that run here. */
  get items (): ItemWork[] {
    return [...this.works.values()].flatMap(({ items }) => [...items.values()])
  }

  /** Items under way. */
  get underway (): number {
    return this.items.filter(({ state }) => state !== 'waiting').length
  }

  /** Where the time of an item of a step went that this host runs; `undefined` where it does not run it. */
  phasesOf (step: string, item: string): PhaseTimes | undefined {
    return this.works.get(step)?.items.get(item)?.phases.times(this.services.clock.monotonic())
  }

  /** What models need of the engines. */
  demands (): ModelWork[] {
    return this.modelDemands.all([...this.works.values()])
  }

  /** Starts whatever can be started. */
  schedule (): void {
    if (!this.services.duty.holds || this.stopping) return
    const works = this.inOrder()
    this.headStarts.begin(works.some(({ waiting }) => waiting.length > 0))
    this.startItems(works)
  }

  dispose (): void {
    this.timer?.dispose()
    this.dropAll()
    this.disposables.dispose()
  }

  private take (change: StepChange): void {
    switch (change.type) {
      case 'accepted':
        this.modelDemands.noteAccepted(change.step)
        if (this.services.duty.holds) this.adopt(change.step)
        return this.schedule()
      case 'listed': return this.dropItem(change.step.submission.id, change.result.item)
      case 'ended':
        this.headStarts.stepEnded(change.step)
        return this.dropStep(change.step.submission.id, 'ended')
      case 'forgotten': return this.dropStep(change.step, 'forgotten')
      case 'duty': return undefined
    }
  }

  private dutyChanged (): void {
    this.timer?.dispose()
    this.reading?.dispose()
    if (!this.services.duty.holds) return this.dropAll()
    this.timer = this.services.clock.every(LOOK_MS, () => { this.look() })
    this.reading = this.services.topic.readWithoutPause()
    this.takeOver().catch((error: unknown) => { this.services.stateLog.alarm('steps not taken over', { error: String(error) }) })
  }

  /** Goes on with the steps of a former holder from the progress that it saved. */
  private async takeOver (): Promise<void> {
    const saved = await this.texts.saved(this.openSteps().length > 0)
    if (!this.services.duty.holds) return
    for (const step of this.openSteps()) this.adopt(step, saved)
    this.schedule()
  }

  /** Reads what the open steps need while the claim of the duty is under way; another host may win it. */
  private prepare (): void {
    this.texts.readAhead(this.openSteps().length > 0)
    for (const step of this.openSteps()) {
      this.services.contents.prepare(step).catch((error: unknown) => { this.services.stateLog.alarm('items of a step cannot be read', { step: step.submission.id, error: String(error) }) })
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
    const waiting = open.map((planned) => newWork(planned, this.texts.begin(), now))
    const work: StepWork = { step, items: new Map(waiting.map((itemWork) => [itemWork.item.id, itemWork])), longFrom: longItemThreshold(submission.items), payloads: undefined, carried, finished: new Map(), waiting }
    this.works.set(submission.id, work)
    this.services.stateLog.decided('step adopted', { step: submission.id, number: submission.number, model: submission.model, minimumVersion: submission.minimumVersion, items: open.length, wantedGroups: submission.wantedGroups, term: this.services.duty.term })
    this.readPayloads(work, saved)
  }

  /** Reads what the runs of a step's items need; they start then, and go on from what is saved of them. */
  private readPayloads (work: StepWork, saved: SavedTexts): void {
    const id = work.step.submission.id
    this.services.contents.payloads(work.step).then((payloads) => {
      if (this.works.get(id) !== work) return
      if (payloads === undefined) {
        this.services.stateLog.alarm('items of a step cannot be read', { step: id, keys: work.step.payloadKeys.length })
        this.services.clock.after(PAYLOADS_RETRY_MS, () => { if (this.works.get(id) === work) this.readPayloads(work, saved) })
        return
      }
      work.payloads = payloads
      const now = this.services.clock.monotonic()
      for (const { phases } of work.items.values()) phases.enter('waiting', now)
      for (const itemWork of [...work.waiting]) {
        this.texts.restore(work, itemWork, saved, this.routeOf(work.step)?.singleVersion === true, this.headStarts.take(work, itemWork.item.id))
        this.useEarlier(work, itemWork)
      }
      this.schedule()
    }).catch((error: unknown) => { this.services.stateLog.alarm('run of an item failed', { step: id, error: String(error) }) })
  }

  /** A text of an earlier step serves if its versions fit; its score too, if the scorer is asked the same. */
  private useEarlier (work: StepWork, itemWork: ItemWork): void {
    const { submission } = work.step
    const earlier = this.services.topic.earlierResult(itemWork.item.id, submission.id, submission.minimumVersion)
    if (earlier === undefined) return
    if (this.routeOf(work.step)?.singleVersion === true && earlier.result.versions.length > 1) return
    const { textKey, textAt, textFrom, ...result } = earlier.result
    const reference = referenceOf(earlier.result)
    if (reference === undefined) return
    removeFrom(work.waiting, itemWork)
    itemWork.state = 'scoring'
    itemWork.phases.enter('scoring', this.services.clock.monotonic())
    this.services.contents.texts(earlier.step, [reference]).then(([text]) => {
      if (itemWork.cancel.signal.aborted) return
      if (text === undefined) {
        this.again(work, itemWork, false)
        return this.schedule()
      }
      this.services.metrics.count('steps.reused')
      if (earlier.item.scoredBy === itemWork.item.scoredBy) this.lister.list(work, itemWork, { ...result, text })
      else this.score(work, itemWork, { ...result, text, score: undefined })
    }).catch((error: unknown) => { this.services.stateLog.alarm('scoring failed', { item: itemWork.item.id, error: String(error) }) })
  }

  private routeOf (step: FoldedStep): Route | undefined {
    return this.services.routes()?.findRoute(step.submission.host, step.submission.path)
  }

  /** Starts waiting items of all steps; engines that are full for one of a step are so for the others of that step. */
  private startItems (works: readonly StepWork[]): void {
    const full = new Set<StepWork>()
    for (const { work, route, itemWork } of inStartOrder(works, (step) => this.routeOf(step), this.lengths, this.services.mechanisms.start_order)) {
      const payload = work.payloads?.get(itemWork.item.id)
      if (payload === undefined || full.has(work) || !this.gate.mayStart(work.step.submission.host, route, itemWork, payload)) continue
      const engine = this.placement.choose(work, route, itemWork)
      if (engine === undefined) {
        full.add(work)
        continue
      }
      removeFrom(work.waiting, itemWork)
      this.start(work, route, itemWork, payload, engine)
    }
  }

  private start (work: StepWork, route: Route, itemWork: ItemWork, payload: ItemPayload, candidate: EngineCandidate): void {
    const { engine } = candidate
    const { submission } = work.step
    const stopRun = new AbortController()
    const began = this.services.clock.monotonic()
    itemWork.state = 'running'
    itemWork.runs++
    itemWork.stopRun = stopRun
    itemWork.engine = engine
    itemWork.startedAt = began
    itemWork.beganWith = itemWork.text.events.length
    itemWork.phases.enter('starting', began)
    engine.running++
    runItem(this.services, engine, itemWork.item, itemWork.text, {
      host: submission.host,
      workspace: submission.workspace,
      model: submission.model,
      minimumVersion: submission.minimumVersion,
      payload,
      firstEventMs: this.settings.firstEventMs,
      silenceMs: this.settings.silenceMs,
      cancelled: AbortSignal.any([itemWork.cancel.signal, stopRun.signal]),
      onBegin: () => { itemWork.phases.enter('running', this.services.clock.monotonic()) }
    }).then((end) => {
      engine.running--
      itemWork.engine = undefined
      if (stopRun.signal.aborted && end.type === 'broken') end = { type: 'moved' }
      this.gate.runEnded(submission.host, itemWork, payload, end)
      if (!itemWork.cancel.signal.aborted) this.runEnded(work, route, itemWork, candidate, end, this.services.clock.monotonic() - began)
      this.schedule()
    }).catch((error: unknown) => { this.services.stateLog.alarm('run of an item failed', { item: itemWork.item.id, error: String(error) }) })
  }

  private runEnded (work: StepWork, route: Route, itemWork: ItemWork, { engine }: EngineCandidate, end: RunEnd, tookMs: number): void {
    const { submission } = work.step
    const { item, text } = itemWork
    this.services.metrics.timing('steps.run', tookMs)
    this.services.stateLog.decided('run ended', { item: item.id, step: submission.id, failed: end.type !== 'complete' && end.type !== 'moved', engine: engine.id, end: end.type, why: end.type === 'broken' ? end.why : '', events: text.events.length, versions: [...text.versions].join(' '), run: itemWork.runs, tookMs: Math.round(tookMs) })
    switch (end.type) {
      case 'complete':
        engine.target.answered(tookMs)
        work.finished.set(item.id, text.events.length)
        this.lengths.recordItem(item.expectedTokens, text.events.length, itemWork.runs === 1 && itemWork.beganWith === 0 ? tookMs : undefined)
        if (route.singleVersion && text.versions.size > 1) return this.again(work, itemWork, true)
        return this.score(work, itemWork, { item: item.id, state: 'complete', text: text.text, versions: [...text.versions].sort((a, b) => a - b), score: undefined })
      case 'refused':
        engine.refused()
        return this.again(work, itemWork, false)
      case 'moved':
      case 'too-old': return this.again(work, itemWork, false)
      case 'restarted': return this.again(work, itemWork, route.singleVersion)
      case 'broken':
        engine.target.failed()
        this.services.client.distrust(engine.target.definition.address)
        return this.again(work, itemWork, route.singleVersion)
      case 'failed':
        itemWork.failures++
        if (itemWork.failures >= route.attempts) return this.giveUpItem(work, itemWork, `${itemWork.failures} engines failed`)
        return this.again(work, itemWork, true)
      case 'impossible': return this.giveUpItem(work, itemWork, 'the engine says that it can never be done')
    }
  }

  /** The item waits again, in front of the others: it is later than they are. */
  private again (work: StepWork, itemWork: ItemWork, fromStart: boolean): void {
    if (fromStart) itemWork.text.clear()
    itemWork.state = 'waiting'
    itemWork.phases.enter('waiting', this.services.clock.monotonic())
    work.waiting.unshift(itemWork)
  }

  private score (work: StepWork, itemWork: ItemWork, result: SampleResult): void {
    const scorer = work.payloads?.get(itemWork.item.id)?.scorer
    if (scorer === undefined) return this.lister.list(work, itemWork, result)
    itemWork.state = 'scoring'
    itemWork.phases.enter('scoring', this.services.clock.monotonic())
    this.services.scorer.score(scorer, itemWork.cancel.signal).then((outcome) => {
      if (itemWork.cancel.signal.aborted) return
      if (outcome.type === 'scored') this.lister.list(work, itemWork, { ...result, score: outcome.score })
      else this.giveUpItem(work, itemWork, 'the scorer failed as often as its route allows')
    }).catch((error: unknown) => { this.services.stateLog.alarm('scoring failed', { item: itemWork.item.id, error: String(error) }) })
  }

  private giveUpItem (work: StepWork, itemWork: ItemWork, why: string): void {
    const { item, text, runs } = itemWork
    this.services.metrics.count('steps.lost')
    this.services.stateLog.decided('item listed as lost', { item: item.id, step: work.step.submission.id, failed: true, why, runs, events: text.events.length })
    this.lister.list(work, itemWork, { item: item.id, state: 'lost', text: '', versions: [], score: undefined })
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
    this.texts.keep(work)
    this.services.stateLog.decided('step dropped', { step, why, open: work.items.size, waiting: work.waiting.length })
    for (const { cancel } of work.items.values()) cancel.abort()
    this.works.delete(step)
    this.schedule()
  }

  private dropAll (): void {
    this.headStarts.dropAll()
    for (const step of [...this.works.keys()]) this.dropStep(step, 'duty lost')
  }

  /** Gives up what is too old, and starts what became possible without an event. */
  private look (): void {
    if (!this.services.duty.holds) return
    this.headStarts.look(this.inOrder())
    if (this.works.size === 0) return
    const now = this.services.clock.wall()
    for (const work of [...this.works.values()]) {
      const route = this.routeOf(work.step)
      if (route !== undefined && now - work.step.submittedAt > route.retentionMs) this.giveUp(work)
      if (route !== undefined) this.moveToFaster(work, route)
    }
    this.schedule()
    this.texts.save(this.works.values()).catch((error: unknown) => { this.services.stateLog.alarm('progress not saved', { error: String(error) }) })
  }

  /** The steps that run here, the oldest first. */
  private inOrder (): StepWork[] {
    return [...this.works.values()].sort((a, b) => a.step.submittedAt - b.step.submittedAt)
  }

  /** Lets one run go on at a faster engine; a text of one version only would have to begin anew there. */
  private moveToFaster (work: StepWork, route: Route): void {
    if (route.singleVersion || work.waiting.length > 0) return
    const now = this.services.clock.monotonic()
    const move = this.placement.nextMove(work, route, now)
    if (move === undefined) return
    const { itemWork, here, better } = move
    this.services.stateLog.decided('run moved to a faster engine', { item: itemWork.item.id, step: work.step.submission.id, engine: here.id, slowness: here.slowness, to: better.id, toSlowness: better.slowness, lastedMs: Math.round(now - itemWork.startedAt), events: itemWork.text.events.length })
    itemWork.state = 'waiting'
    itemWork.stopRun?.abort()
  }

  /** Saves all progress before another host takes over. */
  async handOver (): Promise<void> {
    this.stopping = true
    this.headStarts.dropAll()
    await this.texts.save(this.works.values(), true)
  }

  private giveUp (work: StepWork): void {
    for (const itemWork of work.items.values()) {
      if (itemWork.state === 'listing') continue
      itemWork.cancel.abort()
      removeFrom(work.waiting, itemWork)
      // What is under way for the item ends, and the writing of its result does not: it goes on until the step is dropped.
      const ended: ItemWork = { ...itemWork, cancel: new AbortController() }
      work.items.set(itemWork.item.id, ended)
      this.giveUpItem(work, ended, 'its time is over')
    }
  }
}
