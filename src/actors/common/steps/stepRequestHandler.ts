/** Handles the requests that trainers send to any host: submitting a step, reading its results and item bodies, and ending it. */

import type { WorkspaceName } from '../../../base/common/ids.ts'
import type { RouteTable } from '../../../core/common/routes/routeConfiguration.ts'
import type { Failure, Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import type { FoldedStep } from '../../../core/common/steps/stepFold.ts'
import type { SubmissionRecords } from '../../../core/common/steps/stepRecords.ts'
import { endRecord, outlineRecords, submissionRecords } from '../../../core/common/steps/stepRecords.ts'
import type { ListedResult, SampleResult, TrainerSubmission } from '../../../core/common/steps/step.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { GroupAppender } from '../store/groupAppender.ts'
import type { StepTopic } from '../store/stepTopic.ts'
import type { StepContents } from './stepContents.ts'
import { textReferenceOf } from './stepContents.ts'

export interface StepRequestHandlerServices {
  readonly topic: StepTopic
  readonly appender: GroupAppender
  readonly contents: StepContents
  readonly clock: Clock
  readonly metrics: Metrics
  readonly stateLog: StateLog
  /** The configuration in force. */
  readonly routes: () => RouteTable | undefined
}

export interface StepRequestHandlerSettings {
  /** Time limit for writing a submission to the store while the caller waits, in milliseconds. */
  readonly acceptTimeoutMs: number
  /** Time limit for writing the end of a step to the store, in milliseconds. It continues after the caller has disconnected. */
  readonly endTimeoutMs: number
  /** Longest time that a read waits for a result, in milliseconds. */
  readonly maxWaitMs: number
  /** Limit on the size of a submission, which is written to the store in one call. */
  readonly maxSubmissionCharacters: number
}

/** A step as named in a request. */
export interface RequestedStep {
  readonly id: string
  /** Workspace of the caller. Steps of other workspaces are reported as not found. */
  readonly workspace: WorkspaceName | undefined
}

export interface ResultPage {
  readonly total: number
  readonly results: readonly SampleResult[]
}

/** Retry hint after the store did not accept a write. Outages last for seconds. */
const RETRY_AFTER_MS = 1000
/** Retry hint if this host has not read the newest records yet. */
const STALE_RETRY_AFTER_MS = 200

/** A response has room for no more text, and texts that do not fit would be read in vain. */
const MAX_PAGE_CHARACTERS = 1_000_000

/** Returns whether a step is visible to a workspace. A step that was submitted without a key is visible to all callers. */
function isVisibleTo (step: FoldedStep | undefined, workspace: WorkspaceName | undefined): boolean {
  return step !== undefined && (step.submission.workspace === undefined || step.submission.workspace === workspace)
}

/** Returns the results from position `after` on whose texts fit into one page, but at least one result. */
function pageOf (results: readonly ListedResult[], after: number): ListedResult[] {
  const page: ListedResult[] = []
  let characters = 0
  for (const result of results.slice(after)) {
    characters += result.textAt?.characters ?? 0
    if (page.length > 0 && characters > MAX_PAGE_CHARACTERS) break
    page.push(result)
  }
  return page
}

export class StepRequestHandler {
  constructor (private readonly services: StepRequestHandlerServices, private readonly settings: StepRequestHandlerSettings) {}

  /**
   * Accepts a step. `logUnavailable`, `tooLarge` and `exceedsMemory` mean that the step was certainly not accepted and none of it will
   * run. `commandUnknown` means that it may have been accepted; the same submission can be repeated at any host.
   */
  async submit (submission: TrainerSubmission): Promise<Result<void>> {
    const { topic, contents, clock, stateLog } = this.services
    const existing = topic.step(submission.id)
    if (existing !== undefined) return isVisibleTo(existing, submission.workspace) ? success(undefined) : failure('alreadyExists', `step ${submission.id} already exists in another workspace`)
    const tooLarge = this.oversizedItem(submission)
    // Another host may have accepted the step under an earlier configuration.
    if (tooLarge !== undefined) return isVisibleTo(await this.findStep(submission.id), submission.workspace) ? success(undefined) : tooLarge
    const records = submissionRecords(submission, clock.wall(), contents.nonce())
    const characters = [...records.payloads, ...records.outline].reduce((sum, { value }) => sum + (value?.length ?? 0), 0)
    if (characters > this.settings.maxSubmissionCharacters) return failure('tooLarge', `submission too large: limit is ${this.settings.maxSubmissionCharacters} characters, got ${characters}`)
    const startedAt = clock.monotonic()
    const appended = await this.append(submission, records)
    const accepted = appended.ok || (appended.code === 'commandUnknown' && isVisibleTo(await this.findStep(submission.id), submission.workspace))
    this.services.metrics.timing('steps.accept', clock.monotonic() - startedAt)
    stateLog.decided('step submitted', { step: submission.id, failed: !accepted, number: submission.number, model: submission.model, items: submission.items.length, outcome: accepted ? 'accepted' : appended.ok ? '' : appended.code, tookMs: Math.round(clock.monotonic() - startedAt), offset: appended.ok ? appended.value : topic.position })
    return accepted ? success(undefined) : appended as Result<void>
  }

  /** Returns the failure if no engine can ever run an item of the submission. */
  private oversizedItem ({ id, host, path, items }: TrainerSubmission): Failure | undefined {
    const routes = this.services.routes()
    const route = routes?.findRoute(host, path)
    const maxTokens = routes === undefined || route === undefined ? Number.POSITIVE_INFINITY : routes.maxRequestTokens(route)
    const item = items.find(({ tokens }) => tokens > maxTokens)
    if (item === undefined) return undefined
    this.services.stateLog.decided('step submitted', { step: id, failed: true, items: items.length, outcome: 'exceedsMemory', item: item.id, tokens: item.tokens, maxTokens })
    return failure('exceedsMemory', `item ${item.id} needs ${item.tokens} tokens, and an engine of route ${route?.name ?? ''} holds ${maxTokens}`)
  }

  /** Writes the payloads first: a step that is known to hosts without its payloads could never run. */
  private async append (submission: TrainerSubmission, { payloads, nonce }: SubmissionRecords): Promise<Result<number>> {
    const { appender, contents, clock } = this.services
    const startedAt = clock.monotonic()
    const saved = await contents.save(payloads, this.settings.acceptTimeoutMs)
    // Without its outline, the step does not exist, whether or not the payloads were written.
    if (!saved.ok) return failure('logUnavailable', saved.message, { retryAfterMs: RETRY_AFTER_MS })
    const at = { offset: saved.value, characters: payloads.reduce((sum, { value }) => sum + (value?.length ?? 0), 0) }
    const outline = outlineRecords(submission, clock.wall(), { nonce, parts: payloads.length, at })
    const appended = await appender.append(() => outline, Math.max(0, this.settings.acceptTimeoutMs - (clock.monotonic() - startedAt)))
    if (!appended.ok && appended.code === 'logUnavailable') {
      contents.deleteRecords(payloads.map(({ key }) => key)).catch((error: unknown) => { this.services.stateLog.alarm('step not forgotten', { step: payloads[0]?.key ?? '', error: String(error) }) })
    }
    return appended
  }

  /** Reads results from position `after` on, waiting up to `waitMs` for the first one. */
  async results (requested: RequestedStep, after: number, waitMs: number, cancelled: AbortSignal): Promise<Result<ResultPage>> {
    const startedAt = this.services.clock.monotonic()
    const { id } = requested
    const read = await this.read(requested, after, waitMs, cancelled)
    if (!read.ok || read.value.results.length > 0) {
      this.services.stateLog.decided('results read', { step: id, failed: !read.ok, after, results: read.ok ? read.value.results.length : 0, why: read.ok ? '' : `${read.code}: ${read.message}`, tookMs: Math.round(this.services.clock.monotonic() - startedAt) })
    }
    return read
  }

  private async read (requested: RequestedStep, after: number, waitMs: number, cancelled: AbortSignal): Promise<Result<ResultPage>> {
    const { id } = requested
    const found = await this.requireStep(requested)
    if (!found.ok) return found
    const step = found.value
    const isPastKnownResults = after > step.results.length
    // A host that only follows the steps may be most of a second behind, while another host may already have returned this result.
    // The topic is read continuously only while a caller waits, so it is read here for a caller that does not wait.
    const mayBeListedElsewhere = after === step.results.length && after < step.items.size && waitMs <= 0
    if ((isPastKnownResults || mayBeListedElsewhere) && !await this.services.topic.catchUp() && isPastKnownResults) {
      return failure('stale', 'this host has not caught up with the store', { retryAfterMs: STALE_RETRY_AFTER_MS })
    }
    if (after >= step.results.length && after < step.items.size && waitMs > 0) {
      await this.waitForResult(id, Math.min(waitMs, this.settings.maxWaitMs), cancelled)
    }
    // The topic may have been reloaded in the meantime, which replaces the step object.
    return await this.page(this.services.topic.step(id) ?? step, after)
  }

  /** Returns listed results with their texts, up to the first text that is currently unavailable. */
  private async page (step: FoldedStep, after: number): Promise<Result<ResultPage>> {
    const listed = pageOf(step.results, after)
    const wanted = listed.flatMap((result) => textReferenceOf(result) ?? [])
    const texts = new Map((await this.services.contents.texts(step.submission.id, wanted)).map((text, index) => [wanted[index]?.key, text]))
    const results: SampleResult[] = []
    for (const { textKey, textAt, textFrom, ...result } of listed) {
      const text = textKey === undefined ? '' : texts.get(textKey)
      if (text === undefined) break
      results.push({ ...result, text })
    }
    if (results.length === 0 && listed.length > 0) {
      const missing = wanted.filter(({ key }) => texts.get(key) === undefined).length
      return failure('stale', `${missing} of ${wanted.length} texts are currently unavailable, store ${this.services.topic.isLost ? 'lost' : 'reached'}`, { retryAfterMs: STALE_RETRY_AFTER_MS })
    }
    return success({ total: step.items.size, results })
  }

  /** Returns the body of an item in base64, as long as the item is not listed and its step has not ended. */
  async itemBody (requested: RequestedStep, item: string): Promise<Result<string>> {
    const { id } = requested
    // A host that reads the steps at intervals may not know yet that another host has confirmed the end of this step.
    if (!this.services.topic.isLost) await this.services.topic.catchUp()
    const found = await this.requireStep(requested)
    if (!found.ok) return found
    const openItem = found.value.items.get(item)
    if (openItem === undefined || found.value.ended || found.value.positions.has(item)) return failure('notFound', `item ${item} of step ${id} is not open`)
    const payload = (await this.services.contents.payloads(found.value))?.get(item)
    return payload === undefined ? failure('stale', 'item bodies are currently unavailable from the store', { retryAfterMs: STALE_RETRY_AFTER_MS }) : success(payload.body)
  }

  /** Ends a step. Succeeds once the store has the end record. */
  async end (requested: RequestedStep): Promise<Result<void>> {
    const { id } = requested
    const found = await this.requireStep(requested)
    if (!found.ok) return found
    if (found.value.ended) return success(undefined)
    const appended = await this.services.appender.append(() => [endRecord(id)], this.settings.endTimeoutMs)
    this.services.stateLog.decided('step end asked', { step: id, failed: !appended.ok, outcome: appended.ok ? 'ended' : appended.code })
    if (!appended.ok) return appended
    // Otherwise this host would still serve item bodies of a step that it has just reported as ended.
    await this.services.topic.catchUp()
    return success(undefined)
  }

  private async findStep (id: string): Promise<FoldedStep | undefined> {
    const step = this.services.topic.step(id)
    if (step !== undefined) return step
    await this.services.topic.catchUp()
    return this.services.topic.step(id)
  }

  /** A step that this host does not know may have been accepted elsewhere, so `notFound` is returned only after reading the topic to its end. */
  private async requireStep ({ id, workspace }: RequestedStep): Promise<Result<FoldedStep>> {
    const { topic } = this.services
    const missing = failure('notFound', `step ${id} not found`)
    const step = topic.step(id)
    if (step !== undefined) return isVisibleTo(step, workspace) ? success(step) : missing
    if (!await topic.catchUp()) return failure('stale', 'this host may not have caught up with the store', { retryAfterMs: STALE_RETRY_AFTER_MS })
    const found = topic.step(id)
    return found !== undefined && isVisibleTo(found, workspace) ? success(found) : missing
  }

  private async waitForResult (id: string, waitMs: number, cancelled: AbortSignal): Promise<void> {
    const activeReading = this.services.topic.readWithoutPause()
    await new Promise<void>((resolve) => {
      const done = (): void => {
        activeReading.dispose()
        timer.dispose()
        subscription.dispose()
        cancelled.removeEventListener('abort', done)
        resolve()
      }
      const timer = this.services.clock.after(waitMs, done)
      const subscription = this.services.topic.onChange((change) => {
        if (change.type !== 'forgotten' && change.type !== 'duty' && change.step.submission.id === id) done()
      })
      cancelled.addEventListener('abort', done, { once: true })
    })
  }
}
