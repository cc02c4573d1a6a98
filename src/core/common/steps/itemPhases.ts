/**
 * Where the time of an item goes, from the moment at which a host takes it up until that host reads
 * that its result is listed. Each moment belongs to one phase; an item that runs more than once enters
 * a phase again, and its times are added up.
 */

/** The phases with their meanings, in the order in which an undisturbed item goes through them. */
export const itemPhases = {
  payloads: 'until what its run needs has been read',
  waiting: 'until an engine takes it',
  starting: 'from there to the first event of the run',
  running: 'from the first event of a run to its end',
  scoring: 'until the scorer has answered',
  writing: 'until the store has the text',
  listing: 'until the result is read back from the topic'
} as const

export type ItemPhase = keyof typeof itemPhases

/** Milliseconds in each phase that was entered. */
export type PhaseTimes = Readonly<Partial<Record<ItemPhase, number>>>

export class PhaseTimer {
  private readonly spent = new Map<ItemPhase, number>()
  private phase: ItemPhase = 'payloads'

  /** @param since monotonic time at which the host took the item up, in milliseconds */
  constructor (private since: number) {}

  enter (phase: ItemPhase, nowMs: number): void {
    this.add(nowMs)
    this.phase = phase
  }

  /** Times up to now, whole milliseconds. */
  times (nowMs: number): PhaseTimes {
    this.add(nowMs)
    return Object.fromEntries([...this.spent].map(([phase, spent]) => [phase, Math.round(spent)]))
  }

  private add (nowMs: number): void {
    this.spent.set(this.phase, (this.spent.get(this.phase) ?? 0) + nowMs - this.since)
    this.since = nowMs
  }
}
