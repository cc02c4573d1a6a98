/**
 * The fold of the usage topic: the counts of each window, which windows are sealed, and up to which window they are reported. All
 * hosts that have read the topic up to the same offset hold the same state. A seal is final: counts that arrive after it are not
 * part of any report, and only their number is recorded.
 */

import type { WorkspaceName } from '../../../base/common/ids.ts'
import type { KeyedEntry } from '../../../ports/common/keyedLog.ts'
import type { UsageCounts } from './usageRecords.ts'
import { readUsageRecord } from './usageRecords.ts'

interface FoldedWindow {
  /** Counts by the key of their record. */
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
  private reportedThroughWindow: number | undefined
  /** Reported windows, by the key of their record. */
  private readonly reports = new Map<string, number>()
  private lateCount = 0

  /** Discards the state and rebuilds it from the newest record of each key, in log order. */
  reset (entries: readonly KeyedEntry[]): void {
    this.windows.clear()
    this.reports.clear()
    this.reportedThroughWindow = undefined
    this.apply(entries)
    this.lateCount = 0
  }

  apply (entries: readonly KeyedEntry[]): void {
    for (const entry of entries) this.applyEntry(entry)
  }

  /** The last window up to which all windows are reported; `undefined` before the first report. */
  get reportedThrough (): number | undefined {
    return this.reportedThroughWindow
  }

  /** Sealed windows that are not reported yet, oldest first. */
  get unreported (): SealedWindow[] {
    return [...this.windows]
      .flatMap(([window, { sealed }]) => sealed === undefined || this.isReported(window) ? [] : [{ window, counts: sealed }])
      .sort((a, b) => a.window - b.window)
  }

  /** The oldest window with counts that is neither sealed nor reported. */
  get oldestOpenWindow (): number | undefined {
    const open = [...this.windows].filter(([window, { sealed, counts }]) => sealed === undefined && counts.size > 0 && !this.isReported(window)).map(([window]) => window)
    return open.length === 0 ? undefined : Math.min(...open)
  }

  /** Returns the sum of the counts that hosts have submitted for a window so far. */
  totalCounts (window: number): UsageCounts {
    const total = new Map<WorkspaceName, number>()
    for (const counts of this.windows.get(window)?.counts.values() ?? []) {
      for (const [workspace, count] of counts) total.set(workspace, Math.min(Number.MAX_SAFE_INTEGER, (total.get(workspace) ?? 0) + count))
    }
    return total
  }

  /** Returns the keys of records that are obsolete once all windows up to the given one are reported. */
  obsoleteKeys (window: number): string[] {
    const olderReportKeys = [...this.reports].filter(([, through]) => through < window).map(([key]) => key)
    return [...[...this.windows].flatMap(([number, { keys }]) => number <= window ? [...keys] : []), ...olderReportKeys]
  }

  /** Returns the number of requests counted after their window was sealed, and resets it. */
  takeLateCount (): number {
    const lateCount = this.lateCount
    this.lateCount = 0
    return lateCount
  }

  private isSealed (window: number): boolean {
    return this.isReported(window) || this.windows.get(window)?.sealed !== undefined
  }

  private isReported (window: number): boolean {
    return this.reportedThroughWindow !== undefined && window <= this.reportedThroughWindow
  }

  private applyEntry (entry: KeyedEntry): void {
    const record = readUsageRecord(entry)
    switch (record.kind) {
      case 'none': return undefined
      case 'dropped': return this.removeKey(entry.key)
      case 'reported':
        this.reportedThroughWindow = Math.max(this.reportedThroughWindow ?? record.through, record.through)
        this.reports.set(entry.key, record.through)
        return undefined
      case 'seal': {
        const window = this.getOrCreateWindow(record.window)
        window.keys.add(entry.key)
        window.sealed ??= record.counts
        return undefined
      }
      case 'counts': return this.applyCounts(entry.key, record.window, record.counts)
    }
  }

  private applyCounts (key: string, number: number, counts: UsageCounts): void {
    const isLate = this.isSealed(number)
    const window = this.getOrCreateWindow(number)
    if (isLate && !window.counts.has(key)) for (const count of counts.values()) this.lateCount += count
    window.keys.add(key)
    window.counts.set(key, counts)
  }

  private removeKey (key: string): void {
    this.reports.delete(key)
    for (const [number, window] of this.windows) {
      if (!window.keys.delete(key)) continue
      window.counts.delete(key)
      if (window.keys.size === 0) this.windows.delete(number)
    }
  }

  private getOrCreateWindow (number: number): FoldedWindow {
    const existing = this.windows.get(number)
    if (existing !== undefined) return existing
    const window: FoldedWindow = { counts: new Map(), sealed: undefined, keys: new Set() }
    this.windows.set(number, window)
    return window
  }
}
