/** What trainers ask of any host: to take a step, to read its results and its items' bodies, to end it. */

import type { WorkspaceName } from '../../../base/common/ids.ts'
import type { Result } from '../../../base/common/resultCode.ts'
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
import { referenceOf } from './stepContents.ts'

export interface StepDeskServices {
  readonly topic: StepTopic
  readonly appender: GroupAppender
  readonly contents: StepContents
  readonly clock: Clock
  readonly metrics: Metrics
  readonly stateLog: StateLog
}

export interface StepDeskSettings {
  /** How long a submission is offered to the store while its caller waits, in milliseconds. */
  readonly acceptMs: number
  /** How long the end of a step is offered to the store, also after its caller has gone, in milliseconds. */
  readonly endMs: number
  /** Longest wait of a read for a result, in milliseconds. */
  readonly longestWaitMs: number
  /** Characters of a submission, at most: it goes to the store in one piece. */
  readonly submissionCharacters: number
}

/** A step as a caller names it. */
export interface AskedStep {
  readonly id: string
  /** Workspace of the caller: steps of others are not found. */
  readonly workspace: WorkspaceName | undefined
}

export interface ResultPage {
  readonly total: number
  readonly results: readonly SampleResult[]
}

/** When to come back after the store took nothing, in milliseconds: outages last for seconds. */
const RETRY_AFTER_MS = 1000
/** When to come back to a host that is behind the store, in milliseconds. */
const STALE_RETRY_MS = 200

/** Characters of the texts of one page, at most: an answer takes no more, and what it leaves out would be read for nothing. */
const PAGE_CHARACTERS = 1_000_000

/** Whether a step belongs to a workspace; one that was submitted without a key belongs to all callers. */
function ownedBy (step: FoldedStep | undefined, workspace: WorkspaceName | undefined): boolean {
  return step !== undefined && (step.submission.workspace === undefined || step.submission.workspace === workspace)
}

/** Results from a position on whose texts fit into a page; one at least. */
function pageOf (results: readonly ListedResult[], after: number): ListedResult[] {
  const page: ListedResult[] = []
  let characters = 0
  for (const result of results.slice(after)) {
    characters += result.textAt?.characters ?? 0
    if (page.length > 0 && characters > PAGE_CHARACTERS) break
    page.push(result)
  }
  return page
}

export class StepDesk {
  constructor (private readonly services: StepDeskServices, private readonly settings: StepDeskSettings) {}

  /**
   * Takes a step. `logUnavailable` and `tooLarge`: surely not taken, none of it will run;
   * `commandUnknown`: it may be taken, the same submission may be sent again anywhere.
   */
  async submit (submission: TrainerSubmission): Promise<Result<void>> {
    const { topic, contents, clock, stateLog } = this.services
    const repeated = topic.step(submission.id)
    if (repeated !== undefined) return ownedBy(repeated, submission.workspace) ? success(undefined) : failure('alreadyExists', `another workspace has a step ${submission.id}`)
    const records = submissionRecords(submission, clock.wall(), contents.nonce())
    const characters = [...records.payloads, ...records.outline].reduce((sum, { value }) => sum + (value?.length ?? 0), 0)
    if (characters > this.settings.submissionCharacters) return failure('tooLarge', `a submission may have ${this.settings.submissionCharacters} characters, this one has ${characters}`)
    const began = clock.monotonic()
    const appended = await this.append(submission, records)
    const taken = appended.ok || (appended.code === 'commandUnknown' && ownedBy(await this.find(submission.id), submission.workspace))
    this.services.metrics.timing('steps.accept', clock.monotonic() - began)
    stateLog.decided('step submitted', { step: submission.id, failed: !taken, number: submission.number, model: submission.model, items: submission.items.length, outcome: taken ? 'accepted' : appended.ok ? '' : appended.code, tookMs: Math.round(clock.monotonic() - began), offset: appended.ok ? appended.value : topic.position })
    return taken ? success(undefined) : appended as Result<void>
  }

  /** The payloads go first: a step that hosts know, and whose items nobody can run, would be lost. */
  private async append (submission: TrainerSubmission, { payloads, nonce }: SubmissionRecords): Promise<Result<number>> {
    const { appender, contents, clock } = this.services
    const began = clock.monotonic()
    const saved = await contents.save(payloads, this.settings.acceptMs)
    // Payloads alone are no step, whether or not they are written yet.
    if (!saved.ok) return failure('logUnavailable', saved.message, { retryAfterMs: RETRY_AFTER_MS })
    const at = { offset: saved.value, characters: payloads.reduce((sum, { value }) => sum + (value?.length ?? 0), 0) }
    const outline = outlineRecords(submission, clock.wall(), { nonce, parts: payloads.length, at })
    const appended = await appender.append(() => outline, Math.max(0, this.settings.acceptMs - (clock.monotonic() - began)))
    if (!appended.ok && appended.code === 'logUnavailable') {
      contents.drop(payloads.map(({ key }) => key)).catch((error: unknown) => { this.services.stateLog.alarm('step not forgotten', { step: payloads[0]?.key ?? '', error: String(error) }) })
    }
    return appended
  }

  /** Reads results from a position on; waits for one up to `waitMs`. */
  async results (asked: AskedStep, after: number, waitMs: number, gone: AbortSignal): Promise<Result<ResultPage>> {
    const began = this.services.clock.monotonic()
    const { id } = asked
    const read = await this.read(asked, after, waitMs, gone)
    if (!read.ok || read.value.results.length > 0) {
      this.services.stateLog.decided('results read', { step: id, failed: !read.ok, after, results: read.ok ? read.value.results.length : 0, why: read.ok ? '' : `${read.code}: ${read.message}`, tookMs: Math.round(this.services.clock.monotonic() - began) })
    }
    return read
  }

  private async read (asked: AskedStep, after: number, waitMs: number, gone: AbortSignal): Promise<Result<ResultPage>> {
    const { id } = asked
    const found = await this.known(asked)
    if (!found.ok) return found
    const step = found.value
    const askedAhead = after > step.results.length
    // Hosts that only follow the steps may be most of a second behind, and another one may have given what stands there: a caller that does not wait gets no reading on the way.
    const mayBeListed = after === step.results.length && after < step.items.size && waitMs <= 0
    if ((askedAhead || mayBeListed) && !await this.services.topic.catchUp() && askedAhead) {
      return failure('stale', 'this host is behind the store', { retryAfterMs: STALE_RETRY_MS })
    }
    if (after >= step.results.length && after < step.items.size && waitMs > 0) {
      await this.waitForResult(id, Math.min(waitMs, this.settings.longestWaitMs), gone)
    }
    // The topic may have been loaded anew meanwhile, and the step be another object since.
    return await this.page(this.services.topic.step(id) ?? step, after)
  }

  /** Listed results with their texts, up to the first text that cannot be had now. */
  private async page (step: FoldedStep, after: number): Promise<Result<ResultPage>> {
    const listed = pageOf(step.results, after)
    const wanted = listed.flatMap((result) => referenceOf(result) ?? [])
    const texts = new Map((await this.services.contents.texts(step.submission.id, wanted)).map((text, index) => [wanted[index]?.key, text]))
    const results: SampleResult[] = []
    for (const { textKey, textAt, textFrom, ...result } of listed) {
      const text = textKey === undefined ? '' : texts.get(textKey)
      if (text === undefined) break
      results.push({ ...result, text })
    }
    if (results.length === 0 && listed.length > 0) {
      const missing = wanted.filter(({ key }) => texts.get(key) === undefined).length
      return failure('stale', `${missing} of ${wanted.length} texts cannot be had now, store ${this.services.topic.isLost ? 'lost' : 'reached'}`, { retryAfterMs: STALE_RETRY_MS })
    }
    return success({ total: step.items.size, results })
  }

  /** Body of an item, in base64, while the item is not listed and its step not ended. */
  async body (asked: AskedStep, item: string): Promise<Result<string>> {
    const { id } = asked
    const found = await this.known(asked)
    if (!found.ok) return found
    const known = found.value.items.get(item)
    if (known === undefined || found.value.ended || found.value.positions.has(item)) return failure('notFound', `item ${item} of step ${id} is not open`)
    const payload = (await this.services.contents.payloads(found.value))?.get(item)
    return payload === undefined ? failure('stale', 'the store does not give the bodies now', { retryAfterMs: STALE_RETRY_MS }) : success(payload.body)
  }

  /** Ends a step; it is done once the store has it. */
  async end (asked: AskedStep): Promise<Result<void>> {
    const { id } = asked
    const found = await this.known(asked)
    if (!found.ok) return found
    if (found.value.ended) return success(undefined)
    const appended = await this.services.appender.append(() => [endRecord(id)], this.settings.endMs)
    this.services.stateLog.decided('step end asked', { step: id, failed: !appended.ok, outcome: appended.ok ? 'ended' : appended.code })
    if (!appended.ok) return appended
    // Otherwise this host would still give bodies of the step that it has just said to be ended.
    await this.services.topic.catchUp()
    return success(undefined)
  }

  private async find (id: string): Promise<FoldedStep | undefined> {
    const step = this.services.topic.step(id)
    if (step !== undefined) return step
    await this.services.topic.catchUp()
    return this.services.topic.step(id)
  }

  /** A step that is not known here may have been accepted elsewhere; only a host that has read to the end says that there is none. */
  private async known ({ id, workspace }: AskedStep): Promise<Result<FoldedStep>> {
    const { topic } = this.services
    const missing = failure('notFound', `there is no step ${id}`)
    const step = topic.step(id)
    if (step !== undefined) return ownedBy(step, workspace) ? success(step) : missing
    if (!await topic.catchUp()) return failure('stale', 'this host may be behind the store', { retryAfterMs: STALE_RETRY_MS })
    const found = topic.step(id)
    return found !== undefined && ownedBy(found, workspace) ? success(found) : missing
  }

  private async waitForResult (id: string, waitMs: number, gone: AbortSignal): Promise<void> {
    const reading = this.services.topic.readWithoutPause()
    await new Promise<void>((resolve) => {
      const done = (): void => {
        reading.dispose()
        timer.dispose()
        subscription.dispose()
        gone.removeEventListener('abort', done)
        resolve()
      }
      const timer = this.services.clock.after(waitMs, done)
      const subscription = this.services.topic.onChange((change) => {
        if (change.type !== 'forgotten' && change.type !== 'duty' && change.step.submission.id === id) done()
      })
      gone.addEventListener('abort', done, { once: true })
    })
  }
}
