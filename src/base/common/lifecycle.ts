/**
 * Lifetimes and events: whatever holds a timer, a socket or a listener is a `Disposable`, and its
 * owner disposes of it.
 */

/** Something that must be released by its owner, once. */
export interface Disposable {
  dispose (): void
}

/** Wraps a function as a disposable that runs it at most once. */
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

/** A set of disposables that are released together, last first. */
export class DisposableStore implements Disposable {
  private readonly items: Disposable[] = []
  private disposed = false

  /** Adds an item and returns it; an item added after disposal is released at once. */
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

/** Subscribes a listener; the result ends the subscription. */
export type Event<T> = (listener: (value: T) => void) => Disposable

/** Source of an event. */
export class Emitter<T> implements Disposable {
  private readonly listeners = new Set<(value: T) => void>()

  readonly event: Event<T> = (listener) => {
    this.listeners.add(listener)
    return toDisposable(() => this.listeners.delete(listener))
  }

  /** Calls all listeners in the order in which they subscribed. */
  fire (value: T): void {
    for (const listener of [...this.listeners]) listener(value)
  }

  dispose (): void {
    this.listeners.clear()
  }
}
