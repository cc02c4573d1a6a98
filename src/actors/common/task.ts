/**
 * Base class of the tasks. A task is a nact actor that owns its state and handles messages one at a
 * time. It is resumed after a message that fails: timers make the tasks level-triggered, so the next
 * timer message redoes the work that the failed message left undone.
 */

import type { ActorSystemRef, Ref } from 'nact'
import { dispatch, spawn, stop } from 'nact'
import type { Disposable } from '../../base/common/lifecycle.ts'
import { DisposableStore } from '../../base/common/lifecycle.ts'
import type { Metrics } from '../../ports/common/observation.ts'

export type TaskSystem = ActorSystemRef

export abstract class Task<Message> implements Disposable {
  protected readonly disposables = new DisposableStore()
  private readonly actor: Ref<Message>

  constructor (system: TaskSystem, name: string, metrics: Metrics) {
    this.actor = spawn(system, (_state: undefined, message: Message) => { this.receive(message) }, name, {
      onCrash: (_message, error, context) => {
        metrics.count('task.failed')
        metrics.count(`task.${name}.failed`)
        this.handleFailure(error)
        return context.resume
      }
    }) as Ref<Message>
  }

  /** Adds a message to the queue of this task. */
  tell (message: Message): void {
    dispatch(this.actor, message)
  }

  dispose (): void {
    this.disposables.dispose()
    stop(this.actor)
  }

  /** Handles one message; must not block. */
  protected abstract receive (message: Message): void

  /** Called with the error after the handling of a message has failed. */
  protected handleFailure (_error: unknown): void {}
}
