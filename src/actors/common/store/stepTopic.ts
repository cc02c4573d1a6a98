/** The topic of steps as read by this host: the folded state, its change events, and whether the topic is currently read without failures. */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import { Emitter, toDisposable } from '../../../base/common/lifecycle.ts'
import type { FoldedDuty, FoldedStep, StepChange } from '../../../core/common/steps/stepFold.ts'
import { StepFold } from '../../../core/common/steps/stepFold.ts'
import { changedPositions } from '../../../core/common/steps/positionChanges.ts'
import type { KeyedEntry } from '../../../ports/common/keyedLog.ts'
import type { DutyTopic } from '../duties/dutyLeaseManager.ts'
import type { TailListener, TailServices, TailSettings } from './keyedTail.ts'
import { KeyedTail } from './keyedTail.ts'

/** Maximum number of log lines about moved results per load: the first ones show where the orders diverge. */
const MAX_MOVED_RESULT_LINES = 10

export class StepTopic implements DutyTopic, Disposable {
  private readonly fold = new StepFold()
  private readonly tail: KeyedTail
  private readonly changeEmitter = new Emitter<StepChange>()
  private readonly dutyChangeEmitter = new Emitter<FoldedDuty>()
  /** Number of callers that wait for the next record. */
  private waiting = 0
  private readonly additionalListeners: TailListener[] = []
  readonly onChange = this.changeEmitter.event
  readonly onDuty = this.dutyChangeEmitter.event

  constructor (private readonly services: TailServices, settings: TailSettings) {
    this.tail = new KeyedTail(services, settings, {
      reset: (entries) => {
        for (const listener of this.additionalListeners) listener.reset(entries)
        this.reset(entries)
      },
      apply: (entries) => {
        for (const listener of this.additionalListeners) listener.apply(entries)
        this.fireChanges(this.fold.apply(entries))
      }
    })
    this.tail.readWithoutPauseWhile(() => this.waiting > 0)
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

  /** Passes all records to a further listener, which handles those that do not belong to steps. Must be called before `start`. */
  share (listener: TailListener): void {
    this.additionalListeners.push(listener)
  }

  start (): void {
    this.tail.start()
  }

  /** Waits until the newest records have been loaded. Returns false if that takes longer than `limitMs`. */
  async whenLoaded (limitMs: number): Promise<boolean> {
    return await this.tail.whenLoaded(limitMs)
  }

  async catchUp (): Promise<boolean> {
    return await this.tail.catchUp()
  }

  /** Whether something on this host waits for the next record: a caller, or the steps that this host runs. */
  get isReadWithoutPause (): boolean {
    return this.waiting > 0
  }

  /** Reads records without pauses until the returned object is disposed. */
  readWithoutPause (): Disposable {
    this.waiting++
    this.tail.endPause()
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
    this.changeEmitter.dispose()
    this.dutyChangeEmitter.dispose()
  }

  /** Replaces the state and raises an alarm if results have moved: the order of records must never change, as a reader that holds a position would silently read the wrong results. */
  private reset (entries: readonly KeyedEntry[]): void {
    const before = [...this.fold.steps()]
    const changes = this.fold.reset(entries)
    const moved = changedPositions(before, (step) => this.fold.step(step))
    for (const { step, item, former, present } of moved.slice(0, MAX_MOVED_RESULT_LINES)) {
      this.services.stateLog.alarm('results stand otherwise than before', { step, item, former, present: present ?? 'gone', moved: moved.length })
    }
    this.fireChanges(changes)
  }

  private fireChanges (changes: readonly StepChange[]): void {
    for (const change of changes) {
      if (change.type === 'duty') this.dutyChangeEmitter.fire(change.duty)
      else this.changeEmitter.fire(change)
    }
  }
}
