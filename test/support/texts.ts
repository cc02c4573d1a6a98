/** Held texts for tests: their hosts, work on a step, and a history whose appends a test lets through. */

import { UnfinishedTexts } from '../../src/actors/common/steps/unfinishedTexts.ts'
import { ItemText } from '../../src/actors/common/steps/itemText.ts'
import { ProgressStore } from '../../src/actors/common/steps/progressStore.ts'
import type { ItemWork, StepWork } from '../../src/actors/common/steps/stepWork.ts'
import { newItemWork } from '../../src/actors/common/steps/stepWork.ts'
import { asTextId } from '../../src/base/common/ids.ts'
import type { Result } from '../../src/base/common/resultCode.ts'
import { failure, success } from '../../src/base/common/resultCode.ts'
import type { SubmittedItem, TrainerSubmission } from '../../src/core/common/steps/step.ts'
import { StepFold } from '../../src/core/common/steps/stepFold.ts'
import { submissionRecords } from '../../src/core/common/steps/stepRecords.ts'
import type { History } from '../../src/ports/common/history.ts'
import { quietLog, quietMetrics } from './fakeHost.ts'
import type { ManualClock } from './manualClock.ts'
import { submission } from './steps.ts'

/** What becomes of an append: `late` ones wait until they are let through. */
export type AppendFate = 'kept' | 'lost' | 'answer lost' | 'late' | 'twice'

/** A history in memory that treats appends as it is told. */
export class FatefulHistory implements History {
  readonly records: string[] = []
  fate: AppendFate = 'kept'
  private first = 0
  private waiting: (() => void)[] = []

  async append (text: string): Promise<Result<number>> {
    switch (this.fate) {
      case 'kept': return this.keep(text)
      case 'lost': return failure('logUnavailable', 'lost')
      case 'answer lost': {
        this.keep(text)
        return failure('logUnavailable', 'the answer is lost')
      }
      case 'twice': {
        this.keep(text)
        return this.keep(text)
      }
      case 'late': return await new Promise((resolve) => { this.waiting.push(() => { resolve(this.keep(text)) }) })
    }
  }

  /** Does the appends that are late. */
  land (): void {
    for (const append of this.waiting.splice(0)) append()
  }

  async trim (before: number): Promise<Result<void>> {
    this.first = Math.max(this.first, before)
    return success(undefined)
  }

  async readAll (): Promise<Result<readonly string[]>> {
    return success(this.records.slice(this.first))
  }

  private keep (text: string): Result<number> {
    this.records.push(text)
    return success(this.records.length - 1)
  }
}

let texts = 0

/** What one host holds of texts, over a history that hosts share. */
export function textsOfHost (history: History, clock: ManualClock): { readonly held: UnfinishedTexts, readonly progress: ProgressStore } {
  const progress = new ProgressStore({ history, clock, metrics: quietMetrics, stateLog: quietLog }, { saveIntervalMs: 0, maxRecordBytes: 100_000, enabled: true })
  return { held: new UnfinishedTexts({ progress, clock, metrics: quietMetrics, nonce: () => `n${texts++}` }), progress }
}

export function newText (): ItemText {
  return new ItemText(() => asTextId(`n${texts++}`))
}

/** A step as a host holds it that runs it, with all its items waiting and their payloads read. */
export function workOn (id: string, items: readonly SubmittedItem[], details: Partial<TrainerSubmission> = {}): StepWork {
  const fold = new StepFold()
  fold.apply(submissionRecords(submission(id, items, details), details.minimumVersion ?? 1, 'n').outline.map((record, offset) => ({ ...record, offset })))
  const step = fold.step(id)
  if (step === undefined) throw new Error('the step is not accepted')
  const waiting = items.map((submitted) => newItemWork({ item: submitted, rank: 'wanted' }, newText(), 0))
  return { step, items: new Map(waiting.map((itemWork) => [itemWork.item.id, itemWork])), payloads: new Map(items.map((submitted) => [submitted.id, submitted])), longItemMinTokens: 0, carriedGroups: new Set(), finished: new Map(), waiting }
}

export function itemOf (work: StepWork, id: string): ItemWork {
  const itemWork = work.items.get(id)
  if (itemWork === undefined) throw new Error(`there is no item ${id}`)
  return itemWork
}
