/** The steps' topic as this host has read it: the fold, its events, and how sure this host is of them. */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import { Emitter, toDisposable } from '../../../base/common/lifecycle.ts'
import type { FoldedDuty, FoldedStep, StepChange } from '../../../core/common/steps/stepFold.ts'
import { StepFold } from '../../../core/common/steps/stepFold.ts'
import { changedPositions } from '../../../core/common/steps/positionChanges.ts'
import type { KeyedEntry } from '../../../ports/common/keyedLog.ts'
import type { DutySource } from '../duties/dutyKeeper.ts'
import type { TailListener, TailServices, TailSettings } from './keyedTail.ts'
import { KeyedTail } from './keyedTail.ts'

/** Lines about moved results that one load writes, at most: the first ones show where the order parts. */
const MOST_MOVED = 10

export class StepTopic implements DutySource, Disposable {
  private readonly fold = new StepFold()
  private readonly tail: KeyedTail
  private readonly changes = new Emitter<StepChange>()
  private readonly dutyChanges = new Emitter<FoldedDuty>()
  /** Those who wait for the next record. */
  private waiting = 0
  private readonly sharers: TailListener[] = []
  readonly onChange = this.changes.event
  readonly onDuty = this.dutyChanges.event

  constructor (private readonly services: TailServices, settings: TailSettings) {
    this.tail = new KeyedTail(services, settings, {
      reset: (entries) => {
        for (const sharer of this.sharers) sharer.reset(entries)
        this.reset(entries)
      },
      apply: (entries) => {
        for (const sharer of this.sharers) sharer.apply(entries)
        this.tell(this.fold.apply(entries))
      }
    })
    this.tail.hurryWhile(() => this.waiting > 0)
  }

  get loaded (): boolean {
    return this.tail.loaded
  }

  get isLost (): boolean {
    return this.tail.isLost
  }

  get regainedAt (): number {
    return this.tail.regainedAt
  }

  get position (): number {
    return this.tail.position
  }

  /** Gives another reader the records too: those that are not of steps are its own. To be called before `start`. */
  share (sharer: TailListener): void {
    this.sharers.push(sharer)
  }

  start (): void {
    this.tail.start()
  }

  /** Waits until all records have been read once; false if that takes longer. */
  async whenLoaded (limitMs: number): Promise<boolean> {
    return await this.tail.whenLoaded(limitMs)
  }

  async catchUp (): Promise<boolean> {
    return await this.tail.catchUp()
  }

  /** Has records read without pauses until the result is disposed. */
  awaitRecords (): Disposable {
    this.waiting++
    this.tail.hurry()
    return toDisposable(() => { this.waiting-- })
  }

  step (id: string): FoldedStep | undefined {
    return this.fold.step(id)
  }

  steps (): Iterable<FoldedStep> {
    return this.fold.steps()
  }

  keysOf (step: string): string[] {
    return this.fold.keysOf(step)
  }

  contentKeysOf (step: string): string[] {
    return this.fold.contentKeysOf(step)
  }

  duty (name: string): FoldedDuty | undefined {
    return this.fold.duty(name)
  }

  outdatedClaims (name: string): string[] {
    return this.fold.outdatedClaims(name)
  }

  earlierResult (...parameters: Parameters<StepFold['earlierResult']>): ReturnType<StepFold['earlierResult']> {
    return this.fold.earlierResult(...parameters)
  }

  dispose (): void {
    this.tail.dispose()
    this.changes.dispose()
    this.dutyChanges.dispose()
  }

  /** Records have one order for all time; where results move, readers that hold a position are misled, and nobody else would notice. */
  private reset (entries: readonly KeyedEntry[]): void {
    const before = [...this.fold.steps()]
    const changes = this.fold.reset(entries)
    const moved = changedPositions(before, (step) => this.fold.step(step))
    for (const { step, item, former, present } of moved.slice(0, MOST_MOVED)) {
      this.services.stateLog.alarm('results stand otherwise than before', { step, item, former, present: present ?? 'gone', moved: moved.length })
    }
    this.tell(changes)
  }

  private tell (changes: readonly StepChange[]): void {
    for (const change of changes) {
      if (change.type === 'duty') this.dutyChanges.fire(change.duty)
      else this.changes.fire(change)
    }
  }
}
