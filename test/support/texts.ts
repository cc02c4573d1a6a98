/** Factories for item texts held by hosts and for step work, and a history whose append results are scripted. */

import { UnfinishedTexts } from '../../src/actors/common/steps/unfinishedTexts.ts'
import { ItemText } from '../../src/actors/common/steps/itemText.ts'
import { ProgressStore } from '../../src/actors/common/steps/progressStore.ts'
import type { ItemWork, StepWork } from '../../src/actors/common/steps/stepWork.ts'
import { newItemWork } from '../../src/actors/common/steps/stepWork.ts'
import { asTextId } from '../../src/base/common/ids.ts'
import type { Result } from '../../src/base/common/resultCode.ts'
import { failure, success } from '../../src/base/common/resultCode.ts'
import type { TextEvent } from '../../src/core/common/steps/progress.ts'
import { MoveConfirmation } from '../../src/core/common/steps/engineChoice.ts'
import type { SubmittedItem, TrainerSubmission } from '../../src/core/common/steps/step.ts'
import { StepFold } from '../../src/core/common/steps/stepFold.ts'
import { submissionRecords } from '../../src/core/common/steps/stepRecords.ts'
import type { UnkeyedLog } from '../../src/ports/common/unkeyedLog.ts'
import { noopStateLog, noopMetrics } from './fakeHost.ts'
import type { ManualClock } from './manualClock.ts'
import { newSubmission } from './steps.ts'

/** Outcome of an append. A `late` append waits for `applyDelayedAppends`. */
export type AppendOutcome = 'kept' | 'lost' | 'answer lost' | 'late' | 'twice'

/** A history in memory whose append outcome is set by the test. */
export class ScriptedHistory implements UnkeyedLog {
  readonly records: string[] = []
  appendOutcome: AppendOutcome = 'kept'
  private first = 0
  private waiting: (() => void)[] = []

  async append (text: string): Promise<Result<number>> {
    switch (this.appendOutcome) {
      case 'kept': return this.store(text)
      case 'lost': return failure('logUnavailable', 'lost')
      case 'answer lost': {
        this.store(text)
        return failure('logUnavailable', 'the answer is lost')
      }
      case 'twice': {
        this.store(text)
        return this.store(text)
      }
      case 'late': return await new Promise((resolve) => { this.waiting.push(() => { resolve(this.store(text)) }) })
    }
  }

  /** Applies the delayed appends. */
  applyDelayedAppends (): void {
    for (const append of this.waiting.splice(0)) append()
  }

  async trim (before: number): Promise<Result<void>> {
    this.first = Math.max(this.first, before)
    return success(undefined)
  }

  async readAll (): Promise<Result<readonly string[]>> {
    return success(this.records.slice(this.first))
  }

  private store (text: string): Result<number> {
    this.records.push(text)
    return success(this.records.length - 1)
  }
}

let nextTextNumber = 0

/** Creates the held texts of one host, over a history that may be shared with other hosts. */
export function newHostTexts (history: UnkeyedLog, clock: ManualClock): { readonly held: UnfinishedTexts, readonly progress: ProgressStore } {
  const progress = new ProgressStore({ history, clock, metrics: noopMetrics, stateLog: noopStateLog }, { saveIntervalMs: 0, maxRecordBytes: 100_000, enabled: true })
  return { held: new UnfinishedTexts({ progress, clock, metrics: noopMetrics, nonce: () => `n${nextTextNumber++}` }), progress }
}

/** Creates events that were generated under one version of the weights. */
export function textEvents (version: number, ...data: readonly string[]): TextEvent[] {
  return data.map((event) => ({ data: event, version }))
}

export function newText (): ItemText {
  return new ItemText(() => asTextId(`n${nextTextNumber++}`))
}

/** Creates the state of a step on the host that runs it, with all items waiting and their payloads loaded. */
export function newStepWork (id: string, items: readonly SubmittedItem[], details: Partial<TrainerSubmission> = {}): StepWork {
  const fold = new StepFold()
  fold.apply(submissionRecords(newSubmission(id, items, details), details.minimumVersion ?? 1, 'n').outline.map((record, offset) => ({ ...record, offset })))
  const step = fold.step(id)
  if (step === undefined) throw new Error(`step ${id} was not accepted`)
  const waiting = items.map((submitted) => newItemWork({ item: submitted, rank: 'wanted' }, newText(), 0))
  return { step, items: new Map(waiting.map((itemWork) => [itemWork.item.id, itemWork])), payloads: new Map(items.map((submitted) => [submitted.id, submitted])), longItemMinTokens: 0, carriedGroups: new Set(), finished: new Map(), waiting, moveConfirmation: new MoveConfirmation() }
}

export function itemWorkOf (work: StepWork, id: string): ItemWork {
  const itemWork = work.items.get(id)
  if (itemWork === undefined) throw new Error(`no item has the id ${id}`)
  return itemWork
}
