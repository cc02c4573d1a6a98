/**
 * Gives head starts to items that a later step is expected to request: runs them speculatively, in parallel to
 * the runs of the open step and on a small share of the slots, and passes the generated text on when that step
 * requests them. Head starts exist in the memory of this host only. After a takeover, the items start with their
 * step, as they would without a head start.
 */

import { minimumVersionAfterStep, maxHeadStarts, planHeadStarts } from '../../../core/common/steps/headStart.ts'
import { ItemBackoff } from '../../../core/common/steps/itemBackoff.ts'
import type { ItemLengthEstimator } from '../../../core/common/steps/itemLengthEstimator.ts'
import type { SavedText } from '../../../core/common/steps/progress.ts'
import { versionsOf, withoutNewestEvents } from '../../../core/common/steps/progress.ts'
import type { Route } from '../../../core/common/routes/routeConfiguration.ts'
import type { StepItem } from '../../../core/common/steps/step.ts'
import type { FoldedStep } from '../../../core/common/steps/stepFold.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { Mechanisms } from '../../../core/common/mechanisms.ts'
import { itemRequestKey } from './unfinishedTexts.ts'
import type { ItemPlacement } from './itemPlacement.ts'
import type { ItemRunServices, RunOutcome } from './itemRun.ts'
import { itemRunEnd, runItem } from './itemRun.ts'
import type { ItemText } from './itemText.ts'
import type { Engine } from './engineRegistry.ts'
import type { StepWork } from './stepWork.ts'
import type { StepTopic } from '../store/stepTopic.ts'

export interface HeadStartServices extends ItemRunServices {
  readonly placement: ItemPlacement
  readonly metrics: Metrics
  readonly stateLog: StateLog
  readonly createText: () => ItemText
  readonly lengths: ItemLengthEstimator
  readonly topic: Pick<StepTopic, 'steps'>
  readonly routeOf: (step: FoldedStep) => Route | undefined
  readonly mechanisms: Pick<Mechanisms, 'head_starts'>
}

export interface HeadStartSettings {
  readonly firstEventTimeoutMs: number
  readonly silenceTimeoutMs: number
}

interface HeadStart {
  readonly step: string
  readonly model: string
  readonly item: StepItem
  readonly text: ItemText
  readonly backoff: ItemBackoff
  /** Present while a run is active. */
  cancel: AbortController | undefined
  /** Whether the text is complete. */
  complete: boolean
  /** Set when an engine reported a failure of the item; the head start is not retried. */
  failed: boolean
  /** Monotonic time at which the step was first seen to be closed. */
  stepClosedAt: number | undefined
}

interface PlannedHeadStart {
  readonly work: StepWork
  readonly route: Route
  readonly asked: string
  readonly item: StepItem
  /** Oldest version that the later step is expected to accept for the item. */
  readonly minimumVersion: number
}

/** A head start outlives its step because the next step arrives only after training, or whenever the trainer submits it. */
const HEAD_START_RETENTION_MS = 5000

export class HeadStarts {
  private readonly starts = new Map<string, HeadStart>()
  /** By model: number of steps that were submitted while the most recently ended step was open. */
  private readonly overlappingSteps = new Map<string, number>()
  /** Request keys by item, for steps whose payloads have been read. */
  private readonly requestKeys = new WeakMap<StepWork, Map<string, string | undefined>>()
  /** Head starts that wait for a free slot, longest first. */
  private planned: PlannedHeadStart[] = []

  constructor (private readonly services: HeadStartServices, private readonly settings: HeadStartSettings) {}

  /** Selects the items that are worth a head start and cancels the head starts that no longer are. */
  replan (works: readonly StepWork[]): void {
    this.cancelObsolete(works)
    this.planned = this.services.mechanisms.head_starts && this.services.lengths.known ? works.flatMap((work) => this.planFor(work)) : []
  }

  /** Records how many steps of the model were submitted while this one was open. */
  recordStepEnd (step: FoldedStep): void {
    this.overlappingSteps.set(step.submission.model, this.countNewerOpenSteps(step))
  }

  /** Starts planned head starts as far as slots allow; `hasWaitingItems` tells that items of open steps compete for the slots. */
  startPlanned (hasWaitingItems: boolean): void {
    const full = new Set<StepWork>()
    const now = this.services.clock.monotonic()
    this.planned = this.planned.filter(({ work, route, asked: requestKey, item, minimumVersion }) => {
      const payload = work.payloads?.get(item.id)
      if (full.has(work) || payload === undefined || this.starts.get(requestKey)?.backoff.mayStart(now) === false) return true
      const { id, model } = work.step.submission
      const start = this.starts.get(requestKey) ?? { step: id, model, item, text: this.services.createText(), backoff: new ItemBackoff(), cancel: undefined, complete: false, failed: false, stepClosedAt: undefined }
      const { placement, slots } = this.services.placement.chooseForHeadStart(work, route, start, minimumVersion)
      if (placement.type === 'not-accepted') return true
      if (placement.type === 'full' || this.runningCount(model) >= maxHeadStarts(slots, hasWaitingItems)) {
        full.add(work)
        return true
      }
      this.starts.set(requestKey, start)
      this.run(start, work, placement.candidate.engine, minimumVersion)
      return false
    })
  }

  /** Ends the head start of an item that a step requests and returns the text generated so far. */
  consume (work: StepWork, item: string): SavedText | undefined {
    const requestKey = itemRequestKey(work, item)
    const start = requestKey === undefined ? undefined : this.starts.get(requestKey)
    if (requestKey === undefined || start === undefined || start.step === work.step.submission.id) return undefined
    this.cancel(requestKey, start)
    const { generated } = start.text
    if (generated === undefined) return undefined
    // Only the end of a stream shows that a text is complete, so the last event is left for the later run to generate.
    const resumable = start.complete ? withoutNewestEvents(generated, 1) : generated
    if (resumable.events.length === 0) return undefined
    this.services.metrics.count('steps.head_starts_used')
    this.services.stateLog.decided('head start used', { item, step: work.step.submission.id, events: resumable.events.length, versions: versionsOf(resumable.events).join(' ') })
    return resumable
  }

  cancelAll (): void {
    this.planned = []
    for (const [requestKey, start] of this.starts) this.cancel(requestKey, start)
  }

  private runningCount (model: string): number {
    return [...this.starts.values()].filter((start) => start.model === model && start.cancel !== undefined).length
  }

  private planFor (work: StepWork): PlannedHeadStart[] {
    const route = this.services.routeOf(work.step)
    if (route === undefined || route.singleVersion || work.payloads === undefined) return []
    const { minimumVersion, model } = work.step.submission
    const nextMinimum = minimumVersionAfterStep(minimumVersion, this.countNewerOpenSteps(work.step), this.overlappingSteps.get(model) ?? 0)
    return planHeadStarts(stepProgressOf(work, this.services.lengths), this.services.lengths).flatMap((id): PlannedHeadStart[] => {
      const requestKey = this.requestKeyOf(work, id)
      const item = work.step.items.get(id)
      const existing = requestKey === undefined ? undefined : this.starts.get(requestKey)
      if (requestKey === undefined || item === undefined || existing?.cancel !== undefined || existing?.complete === true || existing?.failed === true) return []
      return [{ work, route, asked: requestKey, item, minimumVersion: nextMinimum }]
    })
  }

  /** Cached for each item: the key contains the item's whole body, and planning runs twenty times a second. */
  private requestKeyOf (work: StepWork, item: string): string | undefined {
    const keys = this.requestKeys.get(work) ?? new Map<string, string | undefined>()
    this.requestKeys.set(work, keys)
    if (!keys.has(item)) keys.set(item, itemRequestKey(work, item))
    return keys.get(item)
  }

  /** Counts the open steps of the same model that were submitted after this one. */
  private countNewerOpenSteps ({ submission: { model }, submittedAt }: FoldedStep): number {
    return [...this.services.topic.steps()].filter((other) => !other.ended && other.submission.model === model && other.submittedAt > submittedAt).length
  }

  private run (start: HeadStart, work: StepWork, engine: Engine, minimumVersion: number): void {
    const { host, workspace, model } = work.step.submission
    const payload = work.payloads?.get(start.item.id)
    if (payload === undefined) return
    const cancel = new AbortController()
    start.cancel = cancel
    const maxEventsAtStart = start.text.maxEvents
    this.services.metrics.count('steps.head_starts')
    this.services.stateLog.decided('head start begins', { item: start.item.id, step: start.step, engine: engine.id, minimumVersion, events: start.text.events.length })
    runItem(this.services, engine, start.item, start.text, { host, workspace, model, minimumVersion, payload, ...this.settings, cancelled: cancel.signal, onFirstEvent: () => undefined }).then((end) => {
      if (cancel.signal.aborted) return
      start.cancel = undefined
      start.backoff.recordRun(itemRunEnd(end, engine, start.text.maxEvents > maxEventsAtStart), this.services.clock.monotonic())
      this.handleRunEnd(start, engine, end)
    }).catch((error: unknown) => {
      this.services.stateLog.alarm('run of an item failed', { item: start.item.id, error: String(error) })
      // Otherwise the head start would count as running for good.
      if (start.cancel === cancel) start.cancel = undefined
      start.failed = true
    })
  }

  /** Updates the engine's state as after a run of an open step. The item is retried unless an engine reported that it fails or can never be completed. */
  private handleRunEnd (start: HeadStart, engine: Engine, end: RunOutcome): void {
    switch (end.type) {
      case 'complete':
        start.complete = true
        return
      case 'failed':
      case 'impossible':
        start.failed = true
        return
      case 'refused':
      case 'rejected':
        return engine.recordRefusal({ step: start.step, tokens: start.item.tokens, isSuspect: start.backoff.hasLostPrecedence })
      case 'broken':
        engine.target.recordFailure()
        return this.services.client.retireConnections(engine.target.definition.address)
      case 'unsendable':
      case 'moved':
      case 'too-old':
      case 'restarted':
    }
  }

  /** Cancels head starts whose group is complete, as it is not requested again, and those that no step requested within the retention time. */
  private cancelObsolete (works: readonly StepWork[]): void {
    const now = this.services.clock.monotonic()
    for (const [requestKey, start] of this.starts) {
      const open = works.find(({ step }) => step.submission.id === start.step)
      if (open === undefined) start.stepClosedAt ??= now
      if (open !== undefined ? isGroupComplete(open, start.item.group) : now - (start.stepClosedAt ?? now) > HEAD_START_RETENTION_MS) this.cancel(requestKey, start)
    }
  }

  private cancel (requestKey: string, start: HeadStart): void {
    start.cancel?.abort()
    this.starts.delete(requestKey)
  }
}

function isGroupComplete ({ step: { submission, positions } }: StepWork, group: string): boolean {
  return submission.items.every((item) => item.group !== group || positions.has(item.id))
}

/** For items completed before this host took over the step, only the length that the trainer expects is known. */
function stepProgressOf ({ step: { submission, positions }, items, finished, carriedGroups: carried }: StepWork, lengths: ItemLengthEstimator): Parameters<typeof planHeadStarts>[0] {
  return {
    wantedGroups: submission.wantedGroups,
    carriedOver: carried,
    items: submission.items.map(({ id, group, expectedTokens }) => ({ id, group, expectedTokens, events: finished.get(id) ?? items.get(id)?.text.events.length ?? lengths.remainingEvents({ expectedTokens, events: 0 }), listed: positions.has(id) }))
  }
}
