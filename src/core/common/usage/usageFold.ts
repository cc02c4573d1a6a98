/**
 * The fold of the usage topic: what was counted for each window, which windows are sealed, and up to where they are reported. All
 * who have read as far hold the same. A seal is final: counts that come after it are not in any report, and their number is told.
 */

import type { WorkspaceName } from '../../../base/common/ids.ts'
import type { KeyedEntry } from '../../../ports/common/keyedLog.ts'
import type { UsageCounts } from './usageRecords.ts'
import { readUsageRecord } from './usageRecords.ts'

interface FoldedWindow {
  /** Counts by the keys of their records. */
  readonly counts: Map<string, UsageCounts>
  sealed: UsageCounts | undefined
  readonly keys: Set<string>
}

export interface SealedWindow {
  readonly window: number
  readonly counts: UsageCounts
}

export class UsageFold {
  private readonly windows = new Map<number, FoldedWindow>()
  private through: number | undefined
  /** Records of how far all is reported, by their keys. */
  private readonly reports = new Map<string, number>()
  private lateCount = 0

  /** Starts over with all newest records, in their order. */
  reset (entries: readonly KeyedEntry[]): void {
    this.windows.clear()
    this.reports.clear()
    this.through = undefined
    this.apply(entries)
    this.lateCount = 0
  }

  apply (entries: readonly KeyedEntry[]): void {
    for (const entry of entries) this.take(entry)
  }

  /** Last of the windows that are reported without a gap; `undefined` before the first report. */
  get reportedThrough (): number | undefined {
    return this.through
  }

  /** Windows that are sealed and not reported, the oldest first. */
  get unreported (): SealedWindow[] {
    return [...this.windows]
      .flatMap(([window, { sealed }]) => sealed === undefined || this.isReported(window) ? [] : [{ window, counts: sealed }])
      .sort((a, b) => a.window - b.window)
  }

  /** Oldest window with counts that is neither sealed nor reported. */
  get oldestOpen (): number | undefined {
    const open = [...this.windows].filter(([window, { sealed, counts }]) => sealed === undefined && counts.size > 0 && !this.isReported(window)).map(([window]) => window)
    return open.length === 0 ? undefined : Math.min(...open)
  }

  /** All that hosts have handed in for a window so far. */
  total (window: number): UsageCounts {
    const total = new Map<WorkspaceName, number>()
    for (const counts of this.windows.get(window)?.counts.values() ?? []) {
      for (const [workspace, count] of counts) total.set(workspace, Math.min(Number.MAX_SAFE_INTEGER, (total.get(workspace) ?? 0) + count))
    }
    return total
  }

  /** Keys of records that nobody needs once all windows up to one are reported. */
  keysThrough (window: number): string[] {
    const former = [...this.reports].filter(([, through]) => through < window).map(([key]) => key)
    return [...[...this.windows].flatMap(([number, { keys }]) => number <= window ? [...keys] : []), ...former]
  }

  /** Requests that came too late for the seal of their window since this was last asked. */
  takeLate (): number {
    const late = this.lateCount
    this.lateCount = 0
    return late
  }

  private isSealed (window: number): boolean {
    return this.isReported(window) || this.windows.get(window)?.sealed !== undefined
  }

  private isReported (window: number): boolean {
    return this.through !== undefined && window <= this.through
  }

  private take (entry: KeyedEntry): void {
    const record = readUsageRecord(entry)
    switch (record.kind) {
      case 'none': return undefined
      case 'dropped': return this.drop(entry.key)
      case 'reported':
        this.through = Math.max(this.through ?? record.through, record.through)
        this.reports.set(entry.key, record.through)
        return undefined
      case 'seal': {
        const window = this.window(record.window)
        window.keys.add(entry.key)
        window.sealed ??= record.counts
        return undefined
      }
      case 'counts': return this.count(entry.key, record.window, record.counts)
    }
  }

  private count (key: string, number: number, counts: UsageCounts): void {
    const isLate = this.isSealed(number)
    const window = this.window(number)
    if (isLate && !window.counts.has(key)) for (const count of counts.values()) this.lateCount += count
    window.keys.add(key)
    window.counts.set(key, counts)
  }

  private drop (key: string): void {
    this.reports.delete(key)
    for (const [number, window] of this.windows) {
      if (!window.keys.delete(key)) continue
      window.counts.delete(key)
      if (window.keys.size === 0) this.windows.delete(number)
    }
  }

  private window (number: number): FoldedWindow {
    const known = this.windows.get(number)
    if (known !== undefined) return known
    const window: FoldedWindow = { counts: new Map(), sealed: undefined, keys: new Set() }
    this.windows.set(number, window)
    return window
  }
}
