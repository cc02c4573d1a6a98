/**
 * Gives items a head start that a step to come will want: runs them once more, beside the runs of the open
 * step and on a small part of the slots, and hands over what they came to when that step asks for them.
 * They are in the memory of this host only: after a takeover the items begin with their step, as without them.
 */

import { minimumVersionAfterStep, maxHeadStarts, planHeadStarts } from '../../../core/common/steps/headStart.ts'
import type { ItemLengthEstimator } from '../../../core/common/steps/itemLengthEstimator.ts'
import type { SavedText } from '../../../core/common/steps/progress.ts'
import type { Route } from '../../../core/common/routes/routeConfiguration.ts'
import type { StepItem } from '../../../core/common/steps/step.ts'
import type { FoldedStep } from '../../../core/common/steps/stepFold.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { Mechanisms } from '../../../core/common/mechanisms.ts'
import { askedKey } from './heldTexts.ts'
import type { ItemPlacement } from './itemPlacement.ts'
import type { ItemGate } from './itemGate.ts'
import type { ItemRunServices, RunEnd } from './itemRun.ts'
import { runItem } from './itemRun.ts'
import type { ItemText } from './itemText.ts'
import type { Engine } from './engineBoard.ts'
import type { StepWork } from './stepWork.ts'
import type { StepTopic } from '../store/stepTopic.ts'

export interface HeadStartServices extends ItemRunServices {
  readonly placement: ItemPlacement
  readonly metrics: Metrics
  readonly stateLog: StateLog
  readonly gate: Pick<ItemGate, 'isFree'>
  readonly newText: () => ItemText
  readonly lengths: ItemLengthEstimator
  readonly topic: Pick<StepTopic, 'steps'>
  readonly routeOf: (step: FoldedStep) => Route | undefined
  readonly mechanisms: Pick<Mechanisms, 'head_starts'>
}

export interface HeadStartSettings {
  readonly firstEventMs: number
  readonly silenceMs: number
}

interface HeadStart {
  readonly step: string
  readonly model: string
  readonly item: StepItem
  readonly text: ItemText
  /** Present while it runs. */
  cancel: AbortController | undefined
  /** Whether its text is whole. */
  complete: boolean
  /** Whether it is not begun again, since an engine said that it fails. */
  failed: boolean
  /** Monotonic time from which on its step is not open any more. */
  leftAt: number | undefined
}

interface PlannedStart {
  readonly work: StepWork
  readonly route: Route
  readonly asked: string
  readonly item: StepItem
  /** Oldest version that the step may use which will have the item. */
  readonly minimumVersion: number
}

/** How long a head start outlasts its step, in milliseconds: the next step comes after the training, or at the trainer's own time. */
const KEPT_MS = 5000

export class HeadStarts {
  private readonly starts = new Map<string, HeadStart>()
  /** Steps of a model that came while its last one that has ended was open. */
  private readonly overlaps = new Map<string, number>()
  /** What is asked for items of steps whose payloads are read. */
  private readonly askedKeys = new WeakMap<StepWork, Map<string, string | undefined>>()
  /** What is to begin once there is a slot, those that need the longest first. */
  private planned: PlannedStart[] = []

  constructor (private readonly services: HeadStartServices, private readonly settings: HeadStartSettings) {}

  /** Plans what is worth a head start and ends what is not any more. */
  look (works: readonly StepWork[]): void {
    this.dropUseless(works)
    this.planned = this.services.mechanisms.head_starts && this.services.lengths.known ? works.flatMap((work) => this.planOf(work)) : []
  }

  /** Learns how many steps come while one of the model is open. */
  stepEnded (step: FoldedStep): void {
    this.overlaps.set(step.submission.model, this.newerOpen(step))
  }

  /** Begins what is planned, as far as there are slots; `waiting`: items of open steps wait for them too. */
  begin (waiting: boolean): void {
    const full = new Set<StepWork>()
    this.planned = this.planned.filter(({ work, route, asked, item, minimumVersion }) => {
      const payload = work.payloads?.get(item.id)
      if (full.has(work) || payload === undefined || !this.services.gate.isFree(work.step.submission.host, payload)) return true
      const { id, model } = work.step.submission
      const { candidate, slots } = this.services.placement.chooseAhead(work, route, item.group, minimumVersion)
      if (candidate === undefined || this.runningOf(model) >= maxHeadStarts(slots, waiting)) {
        full.add(work)
        return true
      }
      const start = this.starts.get(asked) ?? { step: id, model, item, text: this.services.newText(), cancel: undefined, complete: false, failed: false, leftAt: undefined }
      this.starts.set(asked, start)
      this.run(start, work, candidate.engine, minimumVersion)
      return false
    })
  }

  /** Ends the head start of an item that a step asks for, and gives what it came to. */
  take (work: StepWork, item: string): SavedText | undefined {
    const asked = askedKey(work, item)
    const start = asked === undefined ? undefined : this.starts.get(asked)
    if (asked === undefined || start === undefined || start.step === work.step.submission.id) return undefined
    this.drop(asked, start)
    const { text, complete } = start
    // Whether a text is whole only the end of a stream tells, so the last event is made again.
    const events = complete ? text.events.slice(0, -1) : [...text.events]
    if (text.last === undefined || events.length === 0) return undefined
    this.services.metrics.count('steps.head_starts_used')
    this.services.stateLog.decided('head start used', { item, step: work.step.submission.id, events: events.length, versions: [...text.versions].join(' ') })
    return { events, last: text.last - (text.events.length - events.length), versions: [...text.versions] }
  }

  dropAll (): void {
    this.planned = []
    for (const [asked, start] of this.starts) this.drop(asked, start)
  }

  private runningOf (model: string): number {
    return [...this.starts.values()].filter((start) => start.model === model && start.cancel !== undefined).length
  }

  private planOf (work: StepWork): PlannedStart[] {
    const route = this.services.routeOf(work.step)
    if (route === undefined || route.singleVersion || work.payloads === undefined) return []
    const { minimumVersion, model } = work.step.submission
    const nextMinimum = minimumVersionAfterStep(minimumVersion, this.newerOpen(work.step), this.overlaps.get(model) ?? 0)
    return planHeadStarts(progressOf(work, this.services.lengths), this.services.lengths).flatMap((id): PlannedStart[] => {
      const asked = this.askedKeyOf(work, id)
      const item = work.step.items.get(id)
      const known = asked === undefined ? undefined : this.starts.get(asked)
      if (asked === undefined || item === undefined || known?.cancel !== undefined || known?.complete === true || known?.failed === true) return []
      return [{ work, route, asked, item, minimumVersion: nextMinimum }]
    })
  }

  /** Made once for each item: it holds the item's whole body, and the plan is made twenty times a second. */
  private askedKeyOf (work: StepWork, item: string): string | undefined {
    const keys = this.askedKeys.get(work) ?? new Map<string, string | undefined>()
    this.askedKeys.set(work, keys)
    if (!keys.has(item)) keys.set(item, askedKey(work, item))
    return keys.get(item)
  }

  /** Open steps of the same model that came after this one. */
  private newerOpen ({ submission: { model }, submittedAt }: FoldedStep): number {
    return [...this.services.topic.steps()].filter((other) => !other.ended && other.submission.model === model && other.submittedAt > submittedAt).length
  }

  private run (start: HeadStart, work: StepWork, engine: Engine, minimumVersion: number): void {
    const { host, workspace, model } = work.step.submission
    const payload = work.payloads?.get(start.item.id)
    if (payload === undefined) return
    const cancel = new AbortController()
    start.cancel = cancel
    engine.running++
    this.services.metrics.count('steps.head_starts')
    this.services.stateLog.decided('head start begins', { item: start.item.id, step: start.step, engine: engine.id, minimumVersion, events: start.text.events.length })
    runItem(this.services, engine, start.item, start.text, { host, workspace, model, minimumVersion, payload, ...this.settings, cancelled: cancel.signal, onBegin: () => undefined }).then((end) => {
      engine.running--
      if (cancel.signal.aborted) return
      start.cancel = undefined
      this.ended(start, engine, end)
    }).catch((error: unknown) => { this.services.stateLog.alarm('run of an item failed', { item: start.item.id, error: String(error) }) })
  }

  /** What a run says of its engine counts as for the runs of the open step; the item itself is only tried again where an engine did not refuse it for good. */
  private ended (start: HeadStart, engine: Engine, end: RunEnd): void {
    switch (end.type) {
      case 'complete':
        start.complete = true
        return
      case 'failed':
      case 'impossible':
        start.failed = true
        return
      case 'refused':
        return engine.refused()
      case 'broken':
        engine.target.failed()
        return this.services.client.distrust(engine.target.definition.address)
      case 'moved':
      case 'too-old':
      case 'restarted':
    }
  }

  /** A group that is whole does not come again, and neither does what no step asked for in time. */
  private dropUseless (works: readonly StepWork[]): void {
    const now = this.services.clock.monotonic()
    for (const [asked, start] of this.starts) {
      const open = works.find(({ step }) => step.submission.id === start.step)
      if (open === undefined) start.leftAt ??= now
      if (open !== undefined ? isWhole(open, start.item.group) : now - (start.leftAt ?? now) > KEPT_MS) this.drop(asked, start)
    }
  }

  private drop (asked: string, start: HeadStart): void {
    start.cancel?.abort()
    this.starts.delete(asked)
  }
}

function isWhole ({ step: { submission, positions } }: StepWork, group: string): boolean {
  return submission.items.every((item) => item.group !== group || positions.has(item.id))
}

/** Of an item that was whole before this host took the step over, only what its trainer expects is known. */
function progressOf ({ step: { submission, positions }, items, finished, carried }: StepWork, lengths: ItemLengthEstimator): Parameters<typeof planHeadStarts>[0] {
  return {
    wantedGroups: submission.wantedGroups,
    carriedOver: carried,
    items: submission.items.map(({ id, group, expectedTokens }) => ({ id, group, expectedTokens, events: finished.get(id) ?? items.get(id)?.text.events.length ?? lengths.remainingEvents({ expectedTokens, events: 0 }), listed: positions.has(id) }))
  }
}
