/**
 * Lifecycle and events. An object that holds a timer, a socket or a listener is a `Disposable`, and its
 * owner must dispose of it.
 */

/** An object whose resources must be released once by its owner. */
export interface Disposable {
  dispose (): void
}

/** Creates a disposable that calls a function at most once. */
export function toDisposable (release: () => void): Disposable {
  let released = false
  return {
    dispose () {
      if (released) return
      released = true
      release()
    }
  }
}

/** A collection of disposables that are disposed of together, in reverse order. */
export class DisposableStore implements Disposable {
  private readonly items: Disposable[] = []
  private disposed = false

  /** Adds an item and returns it; an item added after disposal is disposed of immediately. */
  add<T extends Disposable> (item: T): T {
    if (this.disposed) item.dispose()
    else this.items.push(item)
    return item
  }

  dispose (): void {
    this.disposed = true
    while (this.items.length > 0) this.items.pop()?.dispose()
  }
}

/** Subscribes a listener; disposing of the result unsubscribes it. */
export type Event<T> = (listener: (value: T) => void) => Disposable

/** Emits an event to its subscribers. */
export class Emitter<T> implements Disposable {
  private readonly listeners = new Set<(value: T) => void>()

  readonly event: Event<T> = (listener) => {
    this.listeners.add(listener)
    return toDisposable(() => this.listeners.delete(listener))
  }

  /** Calls all listeners in the order of their subscription. */
  fire (value: T): void {
    for (const listener of [...this.listeners]) listener(value)
  }

  dispose (): void {
    this.listeners.clear()
  }
}
