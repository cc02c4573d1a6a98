/**
 * One day of steps in virtual time: a trainer, engines and a store as the shape says, and between them the
 * decisions of the product itself, called as the host calls them that runs the steps. Time moves in ticks, so
 * that an engine may change its pace at any moment; a day of some forty seconds takes some tens of milliseconds.
 */

import { chooseEngine, longItemThreshold, shouldMove } from '../../../src/core/common/steps/engineChoice.ts'
import type { EngineLoad } from '../../../src/core/common/steps/engineChoice.ts'
import { EnginePace, relativeSlowness } from '../../../src/core/common/steps/enginePace.ts'
import { minimumVersionAfterStep, maxHeadStarts, planHeadStarts } from '../../../src/core/common/steps/headStart.ts'
import type { StepItem } from '../../../src/core/common/steps/step.ts'
import type { ItemRank, PlannedItem } from '../../../src/core/common/steps/stepPlan.ts'
import { planItemOrder } from '../../../src/core/common/steps/stepPlan.ts'
import { compareStartOrder } from '../../../src/core/common/steps/startOrder.ts'
import { ItemLengthEstimator } from '../../../src/core/common/steps/itemLengthEstimator.ts'
import { maxParallelLoads, planLoads } from '../../../src/core/common/weights/loadPlan.ts'
import type { DayDraws, ModelItem } from './draws.ts'
import { endOfInterval } from './draws.ts'
import type { Shape } from './shape.ts'

/** Decisions that an experiment may leave out. */
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
  /** When it should have been asked, and when it was; absent where the trainer never came to it. */
  readonly plannedMs: number
  readonly askedMs: number | undefined
  /** From there until the wanted groups were listed; absent where they never were. */
  readonly wantedMs: number | undefined
  /** Part of the wanted groups that was whole in time. */
  readonly inTime: number
}

interface Run {
  readonly engine: ModelEngine
  readonly beganMs: number
}

interface WorkItem {
  readonly model: ModelItem
  readonly step: StepItem
  rank: ItemRank
  events: number
  /** Oldest version that made an event of its text. */
  oldest: number
  run: Run | undefined
  runs: number
  waitsUntilMs: number
  /** When its result is listed; set once its last event is there. */
  listedMs: number | undefined
}

interface OpenStep {
  readonly number: number
  readonly askedMs: number
  readonly minimumVersion: number
  readonly carried: ReadonlySet<string>
  readonly items: readonly WorkItem[]
  readonly order: WorkItem[]
  readonly longFrom: number
  wantedMs: number | undefined
}

interface ModelEngine {
  readonly id: string
  readonly index: number
  readonly pace: EnginePace
  readonly runs: Set<WorkItem>
  version: number
  loading: { readonly version: number, readonly untilMs: number } | undefined
}

const TICK_MS = 20
/** Time between two looks for moves and loads, in milliseconds, as the host has. */
const LOOK_MS = 60
/** Progress that is lost with the holder, and silence after which a lost engine is left, in milliseconds. */
const SAVED_MS = 200
const SILENCE_MS = 500
/** A group that is whole this long after it is due still counts, in milliseconds. */
export const SLACK_MS = 700
/** From the store's return until what waited for it is done, in milliseconds. */
const RETURN_MS = 150

export class ModelDay {
  private now = 0
  private named = 1
  private next = 0
  private finished = 0
  /** Steps that came while the one that ended last was open. */
  private overlap = 0
  private readonly lengths = new ItemLengthEstimator()
  private readonly heads = new Map<string, WorkItem>()
  private trainedMs: number | undefined
  private readonly open: OpenStep[] = []
  private readonly outcomes = new Map<number, StepOutcome>()
  private readonly leftOver: { readonly group: string, readonly items: readonly WorkItem[] }[] = []
  private readonly engines: ModelEngine[]

  constructor (private readonly shape: Shape, private readonly draws: DayDraws, private readonly policies: Policies) {
    this.engines = Array.from({ length: shape.engines.count }, (_, index) => ({ id: `e${index}`, index, pace: new EnginePace(), runs: new Set(), version: 1, loading: undefined }))
  }

  run (): StepOutcome[] {
    const { day, trainer } = this.shape
    const end = (day.length_s + trainer.patience_s) * 1000
    for (; this.now < end; this.now += TICK_MS) this.tick()
    return this.draws.steps.map((_, number) => this.outcomes.get(number) ?? { number, plannedMs: number * trainer.interval_s * 1000, askedMs: undefined, wantedMs: undefined, inTime: 0 })
  }

  private tick (): void {
    this.train()
    this.ask()
    this.loseRuns()
    for (const engine of this.engines) this.generate(engine)
    this.finish()
    if (endOfInterval(this.draws.holderLost, this.now) !== undefined) return
    if (this.policies.headStarts) this.giveHeadStarts()
    this.startItems()
    if (this.now % LOOK_MS !== 0) return
    if (this.policies.moves) this.move()
    this.load()
  }

  private get storeAway (): boolean {
    return endOfInterval(this.draws.storeAway, this.now) !== undefined
  }

  private train (): void {
    if (this.trainedMs === undefined || this.now < this.trainedMs || this.storeAway) return
    this.finished++
    this.named++
    this.trainedMs = undefined
  }

  private ask (): void {
    const { trainer, day } = this.shape
    const items = this.draws.steps[this.next]
    const plannedMs = this.next * trainer.interval_s * 1000
    if (items === undefined || this.storeAway || this.now < plannedMs || this.now > day.length_s * 1000 || this.next > this.finished + trainer.ahead) return
    const carried = this.leftOver.splice(0, Math.floor(trainer.groups * trainer.wanted_share / 2))
    const minimumVersion = Math.max(1, this.next - 1)
    const fresh = items.filter(({ group }) => Number(group.split('.')[1]) >= carried.length).map((model) => newItem(model))
    const again = carried.flatMap((group) => group.items.map((item): WorkItem => ({ ...newItem(item.model), ...(item.oldest >= minimumVersion && item.listedMs === undefined ? { events: item.events, oldest: item.oldest } : {}) })))
    const all = [...again, ...fresh]
    for (const item of again) this.takeHead(item, minimumVersion)
    const groups = new Set(carried.map(({ group }) => group))
    const planned = this.policies.order ? planItemOrder(submissionOf(all, this.wanted), (group) => groups.has(group)) : all.map(({ step }): PlannedItem => ({ item: step, rank: 'wanted' }))
    const byId = new Map(all.map((item) => [item.step.id, item]))
    const order = planned.flatMap(({ item: { id }, rank }) => {
      const item = byId.get(id)
      if (item === undefined) return []
      item.rank = rank
      return [item]
    })
    this.open.push({ number: this.next, askedMs: this.now, minimumVersion, carried: groups, items: all, order, longFrom: longItemThreshold(all.map(({ step }) => step)), wantedMs: undefined })
    this.next++
  }

  private get wanted (): number {
    return Math.floor(this.shape.trainer.groups * this.shape.trainer.wanted_share)
  }

  /** Runs end where their holder or their engine is lost. */
  private loseRuns (): void {
    const { event_ms: eventMs } = this.shape.engines
    const holderLost = this.draws.holderLost.some(({ fromMs }) => fromMs >= this.now && fromMs < this.now + TICK_MS)
    for (const engine of this.engines) {
      const lost = this.draws.engineLost.some(({ engine: index, fromMs }) => index === engine.index && fromMs >= this.now && fromMs < this.now + TICK_MS)
      if (!lost && !holderLost) continue
      for (const item of [...engine.runs]) {
        this.stop(item)
        if (this.heads.get(item.step.id) === item) this.drop(item)
        else if (holderLost) item.events = Math.max(0, item.events - SAVED_MS / eventMs)
        else item.waitsUntilMs = this.now + SILENCE_MS
      }
    }
  }

  private generate (engine: ModelEngine): void {
    const { event_ms: eventMs, event_ms_a_run: moreMs, start_ms: startMs } = this.shape.engines
    if (engine.loading !== undefined && this.now >= engine.loading.untilMs) {
      engine.version = engine.loading.version
      engine.loading = undefined
    }
    const slow = endOfInterval(this.draws.engineSlow.filter(({ engine: index }) => index === engine.index), this.now) !== undefined ? this.shape.engine_slow.factor : 1
    const gapMs = (eventMs + moreMs * Math.max(0, engine.runs.size - 1)) * slow * (this.draws.slowness[engine.index] ?? 1)
    for (const item of engine.runs) {
      if (item.run === undefined || this.now < item.run.beganMs + startMs) continue
      if (item.events === 0) item.oldest = engine.version
      const before = Math.floor(item.events)
      item.events = Math.min(item.model.events, item.events + TICK_MS / gapMs)
      if (Math.floor(item.events) > before) engine.pace.recordEventInterval(gapMs, this.now)
    }
  }

  private finish (): void {
    const { engines, trainer } = this.shape
    for (const step of [...this.open]) {
      for (const item of step.items) {
        if (item.run === undefined || item.events < item.model.events) continue
        item.run.engine.pace.recordRun(this.now - item.run.beganMs, item.events)
        this.lengths.recordItem(item.step.expectedTokens, item.events, item.runs === 1 ? this.now - item.run.beganMs : undefined)
        this.stop(item)
        const done = this.now + engines.finish_ms
        item.listedMs = Math.max(done, (endOfInterval(this.draws.storeAway, done) ?? done - RETURN_MS) + RETURN_MS)
      }
      step.wantedMs ??= this.hasWanted(step, this.now) ? this.now : undefined
      const read = step.wantedMs !== undefined && this.now >= step.wantedMs + trainer.read_s * 500
      if (!this.storeAway && (read || this.now - step.askedMs > trainer.patience_s * 1000) && this.trainedMs === undefined) this.end(step)
    }
  }

  private end (step: OpenStep): void {
    const { trainer } = this.shape
    const dueMs = step.askedMs + trainer.due_s * 1000 + SLACK_MS
    this.outcomes.set(step.number, {
      number: step.number,
      plannedMs: step.number * trainer.interval_s * 1000,
      askedMs: step.askedMs,
      wantedMs: step.wantedMs === undefined ? undefined : step.wantedMs - step.askedMs,
      inTime: Math.min(1, this.wholeGroups(step, dueMs - trainer.read_s * 500) / this.wanted)
    })
    for (const item of step.items) this.stop(item)
    const whole = new Set(step.items.filter((item) => step.items.every((other) => other.step.group !== item.step.group || (other.listedMs !== undefined && other.listedMs <= this.now))).map(({ step: { id } }) => id))
    for (const head of [...this.heads.values()]) if (whole.has(head.step.id)) this.drop(head)
    this.overlap = this.open.length - 1 - this.open.indexOf(step)
    this.open.splice(this.open.indexOf(step), 1)
    for (const group of new Set(step.items.map(({ step: { group } }) => group))) {
      const items = step.items.filter((item) => item.step.group === group)
      if (items.some(({ listedMs }) => listedMs === undefined || listedMs > this.now)) this.leftOver.push({ group, items })
    }
    this.trainedMs = this.now + trainer.training_s * 1000
  }

  /** The trainer waits for all carried groups, and for others up to the number that it wants. */
  private hasWanted (step: OpenStep, atMs: number): boolean {
    return this.wholeGroups(step, atMs) >= this.wanted && step.items.every(({ step: { group }, listedMs }) => !step.carried.has(group) || (listedMs !== undefined && listedMs <= atMs))
  }

  private wholeGroups (step: OpenStep, atMs: number): number {
    const open = new Set(step.items.filter(({ listedMs }) => listedMs === undefined || listedMs > atMs).map((item) => item.step.group))
    return new Set(step.items.map((item) => item.step.group)).size - open.size
  }

  private loads (): (EngineLoad & { readonly engine: ModelEngine })[] {
    const slowness = relativeSlowness(this.engines.map(({ pace }) => pace), this.now)
    return this.engines.map((engine, index) => ({
      engine,
      id: engine.id,
      slots: this.shape.engines.slots,
      running: engine.runs.size,
      version: engine.version,
      loading: engine.loading !== undefined,
      suspect: endOfInterval(this.draws.engineLost.filter((lost) => lost.engine === engine.index), this.now) !== undefined,
      slowness: slowness[index] ?? 1,
      hasPrompt: false
    }))
  }

  private startItems (): void {
    const waiting = this.open.flatMap((step) => step.order.filter((item) => isWaiting(item) && item.waitsUntilMs <= this.now).map((item) => ({
      step,
      item,
      rank: item.rank,
      ranBefore: item.runs > 0,
      remainingMs: this.lengths.remainingMs({ expectedTokens: item.step.expectedTokens, events: item.events }),
      dueAtMs: step.askedMs + this.shape.trainer.due_s * 1000
    })))
    if (this.policies.urgency) waiting.sort(compareStartOrder)
    const full = new Set<OpenStep>()
    for (const { step, item } of waiting) {
      if (full.has(step)) continue
      const length = this.policies.longOnFast && (item.runs > 0 || item.step.expectedTokens >= step.longFrom) ? 'long' : 'short'
      const chosen = chooseEngine(this.loads(), step.minimumVersion, length)
      if (chosen === undefined) full.add(step)
      else this.start(item, chosen.engine)
    }
  }

  private start (item: WorkItem, engine: ModelEngine): void {
    item.run = { engine, beganMs: this.now }
    item.runs++
    engine.runs.add(item)
  }

  private stop (item: WorkItem): void {
    item.run?.engine.runs.delete(item)
    item.run = undefined
  }

  /** One run a look and step, as the host does it. */
  private move (): void {
    for (const step of this.open) {
      if (step.order.some((item) => isWaiting(item))) continue
      const loads = this.loads()
      for (const item of step.items) {
        const here = loads.find(({ engine }) => engine === item.run?.engine)
        if (here === undefined || item.run === undefined) continue
        const better = chooseEngine(loads, step.minimumVersion, 'long')
        if (better === undefined || !shouldMove(here, better, this.now - item.run.beganMs)) continue
        this.stop(item)
        this.start(item, better.engine)
        break
      }
    }
  }

  private giveHeadStarts (): void {
    const { count, slots } = this.shape.engines
    const most = maxHeadStarts(count * slots, this.open.some(({ order }) => order.some((item) => isWaiting(item))))
    for (const [index, step] of this.open.entries()) {
      const nextMinimum = minimumVersionAfterStep(step.minimumVersion, this.open.length - 1 - index, this.overlap)
      const items = step.items.map((item) => ({ id: item.step.id, group: item.step.group, expectedTokens: item.step.expectedTokens, events: Math.floor(item.events), listed: item.listedMs !== undefined }))
      for (const id of planHeadStarts({ wantedGroups: this.wanted, items, carriedOver: step.carried }, this.lengths)) {
        if (this.heads.size >= most) return
        const item = step.items.find((other) => other.step.id === id)
        const known = this.heads.get(id)
        if (item === undefined || known !== undefined) continue
        const fresh = chooseEngine(this.loads(), nextMinimum, 'long')
        if (fresh === undefined) break
        const head = newItem(item.model)
        this.heads.set(id, head)
        this.start(head, fresh.engine)
      }
    }
  }

  /** What head starts came to goes to a step that asks for the item; those that nobody can ask for any more end. */
  private takeHead (item: WorkItem, minimumVersion: number): void {
    const head = this.heads.get(item.step.id)
    if (head === undefined) return
    this.drop(head)
    if (head.events < 1 || head.oldest < minimumVersion) return
    item.events = Math.min(head.events, item.model.events - 1)
    item.oldest = head.oldest
  }

  private drop (head: WorkItem): void {
    this.stop(head)
    this.heads.delete(head.step.id)
  }

  private load (): void {
    const { load_ms: loadMs, slots } = this.shape.engines
    const minimumVersion = Math.min(this.named, Math.max(0, ...this.open.map((step) => step.minimumVersion)))
    const engines = this.engines.map((engine) => ({ id: engine.id, follows: 'm', version: engine.version, running: engine.runs.size, slots, ordering: engine.loading !== undefined, suspect: false }))
    for (const { engine: id, version } of planLoads(engines, [{ model: 'm', namedVersion: this.named, minimumVersion }], maxParallelLoads(engines.length))) {
      const engine = this.engines.find((other) => other.id === id)
      if (engine !== undefined) engine.loading = { version, untilMs: this.now + loadMs }
    }
  }
}

function newItem (model: ModelItem): WorkItem {
  const step: StepItem = { id: model.id, group: model.group, tokens: model.hint, expectedTokens: model.hint, scoredBy: undefined }
  return { model, step, rank: 'wanted', events: 0, oldest: 0, run: undefined, runs: 0, waitsUntilMs: 0, listedMs: undefined }
}

function isWaiting (item: WorkItem): boolean {
  return item.run === undefined && item.listedMs === undefined
}

function submissionOf (items: readonly WorkItem[], wantedGroups: number): Parameters<typeof planItemOrder>[0] {
  return { id: '', host: '', path: '', number: 0, model: 'm', minimumVersion: 0, wantedGroups, items: items.map(({ step }) => step) }
}
