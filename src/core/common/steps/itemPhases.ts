/**
 * Splits the time of an item, from the moment a host takes it on until that host reads back its listed result,
 * into phases. Each moment belongs to exactly one phase. An item that runs more than once enters phases again, and
 * the times add up.
 */

/** Phases and their meanings, in the order in which an undisturbed item passes through them. */
export const itemPhases = {
  payloads: 'until the data needed by its run has been read',
  waiting: 'until it is assigned to an engine',
  starting: 'from the assignment to the first event of the run',
  running: 'from the first event of a run to its end',
  scoring: 'until the scorer has responded',
  writing: 'until the text is stored',
  listing: 'until the result is read back from the topic'
} as const

export type ItemPhase = keyof typeof itemPhases

/** Milliseconds spent in each phase that was entered. */
export type PhaseTimes = Readonly<Partial<Record<ItemPhase, number>>>

/** Measures the time that one item spends in each phase. */
export class PhaseTimer {
  private readonly elapsedMs = new Map<ItemPhase, number>()
  private phase: ItemPhase = 'payloads'

  /** @param since monotonic time in milliseconds at which the host took the item on */
  constructor (private since: number) {}

  enter (phase: ItemPhase, nowMs: number): void {
    this.addElapsed(nowMs)
    this.phase = phase
  }

  /** Returns the times up to now, in whole milliseconds. */
  times (nowMs: number): PhaseTimes {
    this.addElapsed(nowMs)
    return Object.fromEntries([...this.elapsedMs].map(([phase, totalMs]) => [phase, Math.round(totalMs)]))
  }

  private addElapsed (nowMs: number): void {
    this.elapsedMs.set(this.phase, (this.elapsedMs.get(this.phase) ?? 0) + nowMs - this.since)
    this.since = nowMs
  }
}
