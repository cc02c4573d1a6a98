/**
 * Base of the tasks: a nact actor that owns its state and is told things by messages, one at a
 * time. A task that fails on a message is told to go on: its timers keep it level-triggered, so the
 * next turn mends what one message left undone.
 */

import type { ActorSystemRef, Ref } from 'nact'
import { dispatch, spawn, stop } from 'nact'
import type { Disposable } from '../../base/common/lifecycle.ts'
import { DisposableStore } from '../../base/common/lifecycle.ts'
import type { Metrics } from '../../ports/common/observation.ts'

export type TaskSystem = ActorSystemRef

export abstract class Task<Message> implements Disposable {
  protected readonly disposables = new DisposableStore()
  private readonly reference: Ref<Message>

  constructor (system: TaskSystem, name: string, metrics: Metrics) {
    this.reference = spawn(system, (_state: undefined, message: Message) => { this.receive(message) }, name, {
      onCrash: (_message, error, context) => {
        metrics.count('task.failed')
        metrics.count(`task.${name}.failed`)
        this.failed(error)
        return context.resume
      }
    }) as Ref<Message>
  }

  /** Sends a message to this task. */
  tell (message: Message): void {
    dispatch(this.reference, message)
  }

  dispose (): void {
    this.disposables.dispose()
    stop(this.reference)
  }

  /** Handles one message; must not block. */
  protected abstract receive (message: Message): void

  /** Called with what a message made fail. */
  protected failed (_error: unknown): void {}
}
