/**
 * Decides which of the clients that occupy a limited resource gives it up: the one that has made no progress for the
 * longest time, if it has made none for a minimum time. Clients that make progress keep what they have, however slow they are, since
 * other limits bound the total time of a request.
 */

export class ActivityOrder<Item> {
  /** The items, the one that was active last at the end. */
  private readonly activities = new Map<Item, { readonly progress: number | undefined, readonly since: number }>()

  /** @param progressOf returns a number that changes whenever the item makes progress; `undefined` while it must keep its part */
  constructor (private readonly progressOf: (item: Item) => number | undefined) {}

  get size (): number {
    return this.activities.size
  }

  /** Adds an item, or notes that it has been active. */
  touch (item: Item, now: number): void {
    this.activities.delete(item)
    this.activities.set(item, { progress: this.progressOf(item), since: now })
  }

  delete (item: Item): void {
    this.activities.delete(item)
  }

  /** Returns the item that has made no progress for the longest time, at least for a minimum; `undefined` if there is none. */
  leastActive (now: number, minimumMs: number): Item | undefined {
    // Items whose progress is noticed here move to the end, and are visited once.
    let remaining = this.activities.size
    for (const [item, { progress, since }] of this.activities) {
      if (now - since < minimumMs || remaining-- === 0) return undefined
      const current = this.progressOf(item)
      if (current !== undefined && current === progress) return item
      this.touch(item, now)
    }
    return undefined
  }
}
