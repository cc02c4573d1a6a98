/**
 * Simulates one day of steps in virtual time. A trainer, engines and a store are modelled according to the shape of
 * the day. The scheduling decisions are the product's own code, called in the same way as by the host that runs the
 * steps. Time advances in ticks, so that an engine may change its speed at any time; simulating a day of about forty
 * seconds takes some tens of milliseconds.
 */

import { chooseEngine, longItemThreshold, MoveConfirmation, shouldMove } from '../../../src/core/common/steps/engineChoice.ts'
import type { EngineLoad } from '../../../src/core/common/steps/engineChoice.ts'
import { EnginePace, relativeSlowness } from '../../../src/core/common/steps/enginePace.ts'
import { minimumVersionAfterStep, maxHeadStarts, planHeadStarts } from '../../../src/core/common/steps/headStart.ts'
import type { StepItem } from '../../../src/core/common/steps/step.ts'
import type { ItemRank, PlannedItem } from '../../../src/core/common/steps/stepPlan.ts'
import { planItemOrder } from '../../../src/core/common/steps/stepPlan.ts'
import { compareStartOrder } from '../../../src/core/common/steps/startOrder.ts'
import { ItemLengthEstimator } from '../../../src/core/common/steps/itemLengthEstimator.ts'
import { maxParallelLoads, planLoads } from '../../../src/core/common/weights/loadPlan.ts'
import type { DayDraws, ItemDraw } from './draws.ts'
import { endOfInterval } from './draws.ts'
import type { DayShape } from './shape.ts'

/** Scheduling policies that an experiment can disable. */
export interface Policies {
  readonly headStarts: boolean
  readonly moves: boolean
  readonly longOnFast: boolean
  readonly order: boolean
  readonly urgency: boolean
}

export const allPolicies: Policies = { headStarts: true, moves: true, longOnFast: true, order: true, urgency: true }

export interface StepOutcome {
  readonly number: number
  /** Times at which the step should have been submitted and was submitted. `submittedMs` is `undefined` if it never was. */
  readonly plannedMs: number
  readonly submittedMs: number | undefined
  /** Time from the submission until the wanted groups were listed; `undefined` if they never were. */
  readonly wantedMs: number | undefined
  /** Fraction of the wanted groups that were complete in time. */
  readonly inTime: number
}

interface EngineRun {
  readonly engine: SimulatedEngine
  readonly startedMs: number
}

interface WorkItem {
  readonly model: ItemDraw
  readonly step: StepItem
  rank: ItemRank
  events: number
  /** Oldest weight version that generated an event of the text. */
  oldest: number
  run: EngineRun | undefined
  runs: number
  retryAtMs: number
  /** Time at which the result is listed. Set once the last event was generated. */
  listedMs: number | undefined
}

interface OpenStep {
  readonly number: number
  readonly submittedMs: number
  readonly minimumVersion: number
  readonly carriedGroupIds: ReadonlySet<string>
  readonly items: readonly WorkItem[]
  readonly startOrder: WorkItem[]
  readonly longThreshold: number
  readonly moveConfirmation: MoveConfirmation<WorkItem>
  wantedMs: number | undefined
}

interface SimulatedEngine {
  readonly id: string
  readonly index: number
  readonly pace: EnginePace
  readonly runs: Set<WorkItem>
  version: number
  loading: { readonly version: number, readonly untilMs: number } | undefined
}

const TICK_MS = 20
/** Interval at which runs are moved and weight loads are planned, in milliseconds. The host uses the same interval. */
const REBALANCE_INTERVAL_MS = 60
/** Generation time whose unsaved progress is lost with the host that runs the steps, in milliseconds. */
const LOST_PROGRESS_MS = 200
/** Silence after which the runs of a lost engine are restarted elsewhere, in milliseconds. */
const ENGINE_SILENCE_TIMEOUT_MS = 500
/** A group that is complete at most this long after its due time still counts as in time, in milliseconds. */
export const DUE_TOLERANCE_MS = 700
/** Time from the end of a store outage until delayed writes are complete, in milliseconds. */
const STORE_RECOVERY_DELAY_MS = 150

export class DaySimulation {
  private nowMs = 0
  private namedVersion = 1
  private next = 0
  private finished = 0
  /** Number of steps submitted while the most recently ended step was open. */
  private stepOverlap = 0
  private readonly lengthEstimator = new ItemLengthEstimator()
  private readonly headStarts = new Map<string, WorkItem>()
  private trainingEndsMs: number | undefined
  private readonly open: OpenStep[] = []
  private readonly outcomes = new Map<number, StepOutcome>()
  private readonly unfinishedGroups: { readonly group: string, readonly items: readonly WorkItem[] }[] = []
  private readonly engines: SimulatedEngine[]

  constructor (private readonly shape: DayShape, private readonly draws: DayDraws, private readonly policies: Policies) {
    this.engines = Array.from({ length: shape.engines.count }, (_, index) => ({ id: `e${index}`, index, pace: new EnginePace(), runs: new Set(), version: 1, loading: undefined }))
  }

  run (): StepOutcome[] {
    const { day, trainer } = this.shape
    const end = (day.length_s + trainer.patience_s) * 1000
    for (; this.nowMs < end; this.nowMs += TICK_MS) this.tick()
    return this.draws.steps.map((_, number) => this.outcomes.get(number) ?? { number, plannedMs: number * trainer.interval_s * 1000, submittedMs: undefined, wantedMs: undefined, inTime: 0 })
  }

  private tick (): void {
    this.completeTraining()
    this.submitDueStep()
    this.applyLosses()
    for (const engine of this.engines) this.generateEvents(engine)
    this.completeItems()
    if (endOfInterval(this.draws.holderLosses, this.nowMs) !== undefined) return
    if (this.policies.headStarts) this.runHeadStarts()
    this.startItems()
    if (this.nowMs % REBALANCE_INTERVAL_MS !== 0) return
    if (this.policies.moves) this.moveRuns()
    this.planEngineLoads()
  }

  private get isStoreUnavailable (): boolean {
    return endOfInterval(this.draws.storeOutages, this.nowMs) !== undefined
  }

  private completeTraining (): void {
    if (this.trainingEndsMs === undefined || this.nowMs < this.trainingEndsMs || this.isStoreUnavailable) return
    this.finished++
    this.namedVersion++
    this.trainingEndsMs = undefined
  }

  private submitDueStep (): void {
    const { trainer, day } = this.shape
    const items = this.draws.steps[this.next]
    const plannedMs = this.next * trainer.interval_s * 1000
    if (items === undefined || this.isStoreUnavailable || this.nowMs < plannedMs || this.nowMs > day.length_s * 1000 || this.next > this.finished + trainer.ahead) return
    const carried = this.unfinishedGroups.splice(0, Math.floor(trainer.groups * trainer.wanted_share / 2))
    const minimumVersion = Math.max(1, this.next - 1)
    const newItems = items.filter(({ group }) => Number(group.split('.')[1]) >= carried.length).map((model) => newWorkItem(model))
    const carriedItems = carried.flatMap((group) => group.items.map((item): WorkItem => ({ ...newWorkItem(item.model), ...(item.oldest >= minimumVersion && item.listedMs === undefined ? { events: item.events, oldest: item.oldest } : {}) })))
    const allItems = [...carriedItems, ...newItems]
    for (const item of carriedItems) this.adoptHeadStart(item, minimumVersion)
    const carriedGroups = new Set(carried.map(({ group }) => group))
    const planned = this.policies.order ? planItemOrder(toSubmission(allItems, this.wantedGroupCount), (group) => carriedGroups.has(group)) : allItems.map(({ step }): PlannedItem => ({ item: step, rank: 'wanted' }))
    const byId = new Map(allItems.map((item) => [item.step.id, item]))
    const order = planned.flatMap(({ item: { id }, rank }) => {
      const item = byId.get(id)
      if (item === undefined) return []
      item.rank = rank
      return [item]
    })
    this.open.push({ number: this.next, submittedMs: this.nowMs, minimumVersion, carriedGroupIds: carriedGroups, items: allItems, startOrder: order, longThreshold: longItemThreshold(allItems.map(({ step }) => step)), moveConfirmation: new MoveConfirmation(), wantedMs: undefined })
    this.next++
  }

  private get wantedGroupCount (): number {
    return Math.floor(this.shape.trainer.groups * this.shape.trainer.wanted_share)
  }

  /** Ends the runs of engines that are lost in this tick, or all runs if the host that runs the steps is lost. */
  private applyLosses (): void {
    const { event_ms: eventMs } = this.shape.engines
    const isHolderLost = this.draws.holderLosses.some(({ fromMs }) => fromMs >= this.nowMs && fromMs < this.nowMs + TICK_MS)
    for (const engine of this.engines) {
      const isEngineLost = this.draws.engineLosses.some(({ engine: index, fromMs }) => index === engine.index && fromMs >= this.nowMs && fromMs < this.nowMs + TICK_MS)
      if (!isEngineLost && !isHolderLost) continue
      for (const item of [...engine.runs]) {
        this.stopRun(item)
        if (this.headStarts.get(item.step.id) === item) this.dropHeadStart(item)
        else if (isHolderLost) item.events = Math.max(0, item.events - LOST_PROGRESS_MS / eventMs)
        else item.retryAtMs = this.nowMs + ENGINE_SILENCE_TIMEOUT_MS
      }
    }
  }

  private generateEvents (engine: SimulatedEngine): void {
    const { event_ms: eventMs, event_ms_a_run: extraMsPerRun, start_ms: startMs } = this.shape.engines
    if (engine.loading !== undefined && this.nowMs >= engine.loading.untilMs) {
      engine.version = engine.loading.version
      engine.loading = undefined
    }
    const slowdown = endOfInterval(this.draws.engineSlowdowns.filter(({ engine: index }) => index === engine.index), this.nowMs) !== undefined ? this.shape.engine_slow.factor : 1
    const gapMs = (eventMs + extraMsPerRun * Math.max(0, engine.runs.size - 1)) * slowdown * (this.draws.slowness[engine.index] ?? 1)
    for (const item of engine.runs) {
      if (item.run === undefined || this.nowMs < item.run.startedMs + startMs) continue
      if (item.events === 0) item.oldest = engine.version
      const eventsBefore = Math.floor(item.events)
      item.events = Math.min(item.model.events, item.events + TICK_MS / gapMs)
      if (Math.floor(item.events) > eventsBefore) engine.pace.recordEventInterval(gapMs, this.nowMs)
    }
  }

  private completeItems (): void {
    const { engines, trainer } = this.shape
    for (const step of [...this.open]) {
      for (const item of step.items) {
        if (item.run === undefined || item.events < item.model.events) continue
        item.run.engine.pace.recordRun(this.nowMs - item.run.startedMs, item.events)
        this.lengthEstimator.recordItem(item.step.expectedTokens, item.events, item.runs === 1 ? this.nowMs - item.run.startedMs : undefined)
        this.stopRun(item)
        const finishedMs = this.nowMs + engines.finish_ms
        item.listedMs = Math.max(finishedMs, (endOfInterval(this.draws.storeOutages, finishedMs) ?? finishedMs - STORE_RECOVERY_DELAY_MS) + STORE_RECOVERY_DELAY_MS)
      }
      step.wantedMs ??= this.hasWantedGroups(step, this.nowMs) ? this.nowMs : undefined
      const isRead = step.wantedMs !== undefined && this.nowMs >= step.wantedMs + trainer.read_s * 500
      if (!this.isStoreUnavailable && (isRead || this.nowMs - step.submittedMs > trainer.patience_s * 1000) && this.trainingEndsMs === undefined) this.endStep(step)
    }
  }

  private endStep (step: OpenStep): void {
    const { trainer } = this.shape
    const dueMs = step.submittedMs + trainer.due_s * 1000 + DUE_TOLERANCE_MS
    this.outcomes.set(step.number, {
      number: step.number,
      plannedMs: step.number * trainer.interval_s * 1000,
      submittedMs: step.submittedMs,
      wantedMs: step.wantedMs === undefined ? undefined : step.wantedMs - step.submittedMs,
      inTime: Math.min(1, this.completeGroupCount(step, dueMs - trainer.read_s * 500) / this.wantedGroupCount)
    })
    for (const item of step.items) this.stopRun(item)
    const completeItemIds = new Set(step.items.filter((item) => step.items.every((other) => other.step.group !== item.step.group || (other.listedMs !== undefined && other.listedMs <= this.nowMs))).map(({ step: { id } }) => id))
    for (const headStart of [...this.headStarts.values()]) if (completeItemIds.has(headStart.step.id)) this.dropHeadStart(headStart)
    this.stepOverlap = this.open.length - 1 - this.open.indexOf(step)
    this.open.splice(this.open.indexOf(step), 1)
    for (const group of new Set(step.items.map(({ step: { group } }) => group))) {
      const items = step.items.filter((item) => item.step.group === group)
      if (items.some(({ listedMs }) => listedMs === undefined || listedMs > this.nowMs)) this.unfinishedGroups.push({ group, items })
    }
    this.trainingEndsMs = this.nowMs + trainer.training_s * 1000
  }

  /** Returns whether all carried groups and the wanted number of groups are complete, which is what the trainer waits for. */
  private hasWantedGroups (step: OpenStep, atMs: number): boolean {
    return this.completeGroupCount(step, atMs) >= this.wantedGroupCount && step.items.every(({ step: { group }, listedMs }) => !step.carriedGroupIds.has(group) || (listedMs !== undefined && listedMs <= atMs))
  }

  private completeGroupCount (step: OpenStep, atMs: number): number {
    const incompleteGroups = new Set(step.items.filter(({ listedMs }) => listedMs === undefined || listedMs > atMs).map((item) => item.step.group))
    return new Set(step.items.map((item) => item.step.group)).size - incompleteGroups.size
  }

  private engineLoads (): (EngineLoad & { readonly engine: SimulatedEngine })[] {
    const slowness = relativeSlowness(this.engines.map(({ pace }) => pace), this.nowMs)
    return this.engines.map((engine, index) => ({
      engine,
      id: engine.id,
      slots: this.shape.engines.slots,
      running: engine.runs.size,
      version: engine.version,
      loading: engine.loading !== undefined,
      suspect: endOfInterval(this.draws.engineLosses.filter((lost) => lost.engine === engine.index), this.nowMs) !== undefined,
      slowness: slowness[index] ?? 1,
      hasPrompt: false
    }))
  }

  private startItems (): void {
    const waiting = this.open.flatMap((step) => step.startOrder.filter((item) => isWaiting(item) && item.retryAtMs <= this.nowMs).map((item) => ({
      step,
      item,
      rank: item.rank,
      ranBefore: item.runs > 0,
      remainingMs: this.lengthEstimator.remainingMs({ expectedTokens: item.step.expectedTokens, events: item.events }),
      dueAtMs: step.submittedMs + this.shape.trainer.due_s * 1000
    })))
    if (this.policies.urgency) waiting.sort(compareStartOrder)
    const stepsWithoutEngine = new Set<OpenStep>()
    for (const { step, item } of waiting) {
      if (stepsWithoutEngine.has(step)) continue
      const length = this.policies.longOnFast && (item.runs > 0 || item.step.expectedTokens >= step.longThreshold) ? 'long' : 'short'
      const chosen = chooseEngine(this.engineLoads(), step.minimumVersion, length)
      if (chosen === undefined) stepsWithoutEngine.add(step)
      else this.startRun(item, chosen.engine)
    }
  }

  private startRun (item: WorkItem, engine: SimulatedEngine): void {
    item.run = { engine, startedMs: this.nowMs }
    item.runs++
    engine.runs.add(item)
  }

  private stopRun (item: WorkItem): void {
    item.run?.engine.runs.delete(item)
    item.run = undefined
  }

  /** Moves at most one run per step and interval, as the host does. */
  private moveRuns (): void {
    for (const step of this.open) {
      if (step.startOrder.some((item) => isWaiting(item))) continue
      const loads = this.engineLoads()
      const faster = chooseEngine(loads, step.minimumVersion, 'long')
      const proposed = step.items.filter(({ run }) => {
        const current = loads.find(({ engine }) => engine === run?.engine)
        return run !== undefined && current !== undefined && faster !== undefined && shouldMove(current, faster, this.nowMs - run.startedMs)
      })
      const [item] = step.moveConfirmation.confirm(proposed, this.nowMs)
      if (item === undefined || faster === undefined) continue
      this.stopRun(item)
      this.startRun(item, faster.engine)
    }
  }

  private runHeadStarts (): void {
    const { count, slots } = this.shape.engines
    const limit = maxHeadStarts(count * slots, this.open.some(({ startOrder: order }) => order.some((item) => isWaiting(item))))
    for (const [index, step] of this.open.entries()) {
      const nextMinimum = minimumVersionAfterStep(step.minimumVersion, this.open.length - 1 - index, this.stepOverlap)
      const items = step.items.map((item) => ({ id: item.step.id, group: item.step.group, expectedTokens: item.step.expectedTokens, events: Math.floor(item.events), listed: item.listedMs !== undefined }))
      for (const id of planHeadStarts({ wantedGroups: this.wantedGroupCount, items, carriedOver: step.carriedGroupIds }, this.lengthEstimator)) {
        if (this.headStarts.size >= limit) return
        const item = step.items.find((other) => other.step.id === id)
        const known = this.headStarts.get(id)
        if (item === undefined || known !== undefined) continue
        const chosen = chooseEngine(this.engineLoads(), nextMinimum, 'long')
        if (chosen === undefined) break
        const headStart = newWorkItem(item.model)
        this.headStarts.set(id, headStart)
        this.startRun(headStart, chosen.engine)
      }
    }
  }

  /** Ends the head start of an item that a step has submitted, and reuses its events if their version is recent enough for the step. */
  private adoptHeadStart (item: WorkItem, minimumVersion: number): void {
    const headStart = this.headStarts.get(item.step.id)
    if (headStart === undefined) return
    this.dropHeadStart(headStart)
    if (headStart.events < 1 || headStart.oldest < minimumVersion) return
    item.events = Math.min(headStart.events, item.model.events - 1)
    item.oldest = headStart.oldest
  }

  private dropHeadStart (headStart: WorkItem): void {
    this.stopRun(headStart)
    this.headStarts.delete(headStart.step.id)
  }

  private planEngineLoads (): void {
    const { load_ms: loadMs, slots } = this.shape.engines
    const minimumVersion = Math.min(this.namedVersion, Math.max(0, ...this.open.map((step) => step.minimumVersion)))
    const engines = this.engines.map((engine) => ({ id: engine.id, follows: 'm', version: engine.version, running: engine.runs.size, slots, ordering: engine.loading !== undefined, suspect: false }))
    for (const { engine: id, version } of planLoads(engines, [{ model: 'm', namedVersion: this.namedVersion, minimumVersion }], maxParallelLoads(engines.length))) {
      const engine = this.engines.find((other) => other.id === id)
      if (engine !== undefined) engine.loading = { version, untilMs: this.nowMs + loadMs }
    }
  }
}

function newWorkItem (model: ItemDraw): WorkItem {
  const step: StepItem = { id: model.id, group: model.group, tokens: model.estimatedEvents, expectedTokens: model.estimatedEvents, scoredBy: undefined }
  return { model, step, rank: 'wanted', events: 0, oldest: 0, run: undefined, runs: 0, retryAtMs: 0, listedMs: undefined }
}

function isWaiting (item: WorkItem): boolean {
  return item.run === undefined && item.listedMs === undefined
}

function toSubmission (items: readonly WorkItem[], wantedGroups: number): Parameters<typeof planItemOrder>[0] {
  return { id: '', host: '', path: '', number: 0, model: 'm', minimumVersion: 0, wantedGroups, items: items.map(({ step }) => step) }
}
