/**
 * Follows the control stream and owns the folded state. Other components read the state through
 * `FoldView` and never modify it.
 *
 * The state is built from the newest checkpoint and the entries after it, or taken from a peer while
 * the log does not answer. It never moves to a lower offset, so a configuration that was in force on
 * this host never reverts.
 */

import type { Disposable, Event } from '../../../base/common/lifecycle.ts'
import { Emitter } from '../../../base/common/lifecycle.ts'
import type { Result } from '../../../base/common/resultCode.ts'
import { unreachable } from '../../../base/common/exhaustive.ts'
import type { FoldState, Verdict } from '../../../core/common/fold/fold.ts'
import { emptyState, foldEntry, snapshot } from '../../../core/common/fold/fold.ts'
import { FreshnessTracker } from '../../../core/common/fold/freshness.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { Hash } from '../../../ports/common/hash.ts'
import type { Log, LogEntry, LogPage } from '../../../ports/common/log.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { PeerHandlers, PeerMethods, Peers } from '../../../ports/common/peers.ts'
import type { TaskSystem } from '../task.ts'
import { Task } from '../task.ts'
import type { PeerDirectory } from './stateFinder.ts'
import { StateFinder } from './stateFinder.ts'

/** Read-only view of the folded state. */
export interface FoldView {
  readonly state: Readonly<FoldState>
  /** Fires for each verdict in log order, after the state includes it. */
  readonly onVerdict: Event<Verdict>
  /** Fires after entries have been folded or the state has been replaced. */
  readonly onChange: Event<void>
  /** Whether the state may be acted on, that is, the log was recently read up to its end. */
  readonly fresh: boolean
  /** Whether the log answered the last read; false during an outage. */
  readonly isLogAvailable: boolean
  /** Skips the pauses between reads while the condition returns true, that is, while a verdict is awaited. */
  readWithoutPauseWhile (condition: () => boolean): void
  /** Ends the current pause between two reads, if any. */
  endPause (): void
}

export interface ControlLogSettings {
  readonly longPollMs: number
  /** Pause after a read that returned entries, while this host awaits no verdict. */
  readonly readPauseMs: number
  readonly freshnessMs: number
  readonly relayEntries: number
}

const MAX_PAGE_ENTRIES = 500
const RETRY_DELAY_MS = 250
const TICK_INTERVAL_MS = 250
const RELAY_TIMEOUT_MS = 1000

type Message =
  | { readonly type: 'find-state' }
  | { readonly type: 'found', readonly state: FoldState | undefined, readonly origin: string }
  | { readonly type: 'read' }
  | { readonly type: 'page', readonly result: Result<LogPage>, readonly asked: number, readonly at: number }
  | { readonly type: 'relayed', readonly result: Result<PeerMethods['log.relay']['result']> | undefined, readonly asked: number, readonly at: number }
  | { readonly type: 'tick' }

export interface ControlLogServices {
  readonly system: TaskSystem
  readonly log: Log
  readonly peers: Peers
  readonly handlers: PeerHandlers
  readonly directory: PeerDirectory
  readonly clock: Clock
  readonly hash: Hash
  readonly metrics: Metrics
  readonly stateLog: StateLog
}

export class ControlLog extends Task<Message> implements FoldView {
  private foldState = emptyState()
  private hasState = false
  private searchFailed = false
  private isVerdictAwaited: () => boolean = () => false
  private pauseTimer: Disposable | undefined
  private logAvailable = true
  private readonly freshness: FreshnessTracker
  private readonly stateFinder: StateFinder
  private readonly recentEntries: LogEntry[] = []
  private readonly verdictEmitter = new Emitter<Verdict>()
  private readonly changeEmitter = new Emitter<void>()
  readonly onVerdict = this.verdictEmitter.event
  readonly onChange = this.changeEmitter.event

  constructor (private readonly services: ControlLogServices, private readonly settings: ControlLogSettings) {
    super(services.system, 'control-log', services.metrics)
    this.stateFinder = new StateFinder(services)
    this.freshness = new FreshnessTracker({ maxAgeMs: settings.freshnessMs, tickIntervalMs: TICK_INTERVAL_MS }, services.clock.monotonic())
    this.disposables.add(services.clock.every(TICK_INTERVAL_MS, () => { this.tell({ type: 'tick' }) }))
    this.disposables.add(this.verdictEmitter)
    this.disposables.add(this.changeEmitter)
    services.handlers.handle('log.relay', async (parameters) => this.answerRelay(parameters))
    services.handlers.handle('log.state', async ({ above }) => this.offerState(above))
    this.tell({ type: 'find-state' })
  }

  get state (): Readonly<FoldState> {
    return this.foldState
  }

  get isLogAvailable (): boolean {
    return this.logAvailable
  }

  get fresh (): boolean {
    return this.hasState && this.freshness.isFresh(this.services.clock.monotonic())
  }

  readWithoutPauseWhile (condition: () => boolean): void {
    this.isVerdictAwaited = condition
  }

  endPause (): void {
    if (this.pauseTimer === undefined) return
    this.pauseTimer.dispose()
    this.pauseTimer = undefined
    this.tell({ type: 'read' })
  }

  protected override receive (message: Message): void {
    switch (message.type) {
      case 'find-state': this.findState(); break
      case 'found': this.adoptState(message.state, message.origin); break
      case 'read': this.read(); break
      case 'page': this.handlePage(message.result, message.asked, message.at); break
      case 'relayed': this.handleRelayedPage(message.result, message.asked, message.at); break
      case 'tick': this.tick(); break
      default: unreachable(message)
    }
  }

  protected override handleFailure (error: unknown): void {
    this.services.stateLog.alarm('control log failed', { error: String(error) })
    this.tellAfterDelay({ type: 'read' })
  }

  /**
   * Detects that this host was frozen by the jump of its own clock between two ticks. Its configuration,
   * leases and claims are then outdated, so the state is stale until the log has been read to its end again.
   */
  private tick (): void {
    if (!this.freshness.tick(this.services.clock.monotonic())) return
    this.services.metrics.count('host.woke')
    this.services.stateLog.alarm('woke from a freeze', { offset: this.foldState.offset })
  }

  private async findState (): Promise<void> {
    const { state, origin } = await this.stateFinder.find(this.hasState ? this.foldState.offset : 0)
    this.tell({ type: 'found', state, origin })
  }

  private adoptState (state: FoldState | undefined, origin: string): void {
    if (state === undefined) {
      this.services.metrics.count('state.not_found')
      if (!this.searchFailed) this.services.stateLog.alarm('no state can be found', { origin })
      this.searchFailed = true
      this.tellAfterDelay({ type: 'find-state' })
      return
    }
    if (this.hasState && state.offset < this.foldState.offset) {
      this.tellAfterDelay({ type: 'read' })
      return
    }
    this.foldState = state
    this.hasState = true
    this.searchFailed = false
    this.recentEntries.length = 0
    this.services.stateLog.changed('state found', { origin, offset: state.offset })
    this.changeEmitter.fire()
    this.tell({ type: 'read' })
  }

  private async read (): Promise<void> {
    const asked = this.foldState.offset
    const at = this.services.clock.monotonic()
    const waitMs = this.logAvailable ? this.settings.longPollMs : 0
    const result = await this.services.log.read('control', asked, { maximumEntries: MAX_PAGE_ENTRIES, waitMs })
    this.tell({ type: 'page', result, asked, at })
  }

  private handlePage (result: Result<LogPage>, asked: number, at: number): void {
    if (!result.ok) {
      this.setLogAvailable(false)
      this.readFromPeer()
      return
    }
    this.setLogAvailable(true)
    const page = result.value
    if (page.first > this.foldState.offset) {
      this.recoverFromGap(page.first)
      return
    }
    if (page.end < asked) {
      this.services.metrics.count('log.end_behind')
      this.services.stateLog.alarm('the log ends before what was read from it', { end: page.end, offset: asked })
      this.tellAfterDelay({ type: 'read' })
      return
    }
    this.foldEntries(page.entries)
    if (this.foldState.offset >= page.end) this.freshness.recordContact(at)
    const caughtUp = page.entries.length > 0 && this.foldState.offset >= page.end
    if (caughtUp && !this.isVerdictAwaited()) this.pause()
    else this.tell({ type: 'read' })
  }

  /**
   * Pauses before the next read so that several appends are read in one page. Every append of any host
   * ends the long polls of all hosts; at a hundred appends per second, reading them one by one would
   * exceed the processor time that a host may spend on the control log.
   */
  private pause (): void {
    this.pauseTimer = this.services.clock.after(this.settings.readPauseMs, () => {
      this.pauseTimer = undefined
      this.tell({ type: 'read' })
    })
  }

  /**
   * Finds a new state after a gap in the log: a host that was frozen for longer than the log keeps
   * entries would otherwise miss the entries in the gap. Until a state is found, this host is not fresh.
   */
  private recoverFromGap (first: number): void {
    this.services.metrics.count('log.gap')
    this.services.stateLog.alarm('the log no longer has the next entry', { first, offset: this.foldState.offset })
    this.freshness.reset()
    this.tellAfterDelay({ type: 'find-state' })
  }

  private async readFromPeer (): Promise<void> {
    const asked = this.foldState.offset
    const at = this.services.clock.monotonic()
    const [address] = this.services.directory.peerAddresses()
    const result = address === undefined
      ? undefined
      : await this.services.peers.call(address, 'log.relay', { from: asked, maximumEntries: MAX_PAGE_ENTRIES }, RELAY_TIMEOUT_MS)
    this.tell({ type: 'relayed', result, asked, at })
  }

  private handleRelayedPage (result: Result<PeerMethods['log.relay']['result']> | undefined, asked: number, at: number): void {
    if (result?.ok === true) {
      const { entries, end } = result.value
      this.foldEntries(entries)
      if (end > this.foldState.offset && entries.length === 0) {
        this.tell({ type: 'find-state' })
        return
      }
      if (this.foldState.offset >= end) this.notePeerContact(at)
      if (this.foldState.offset > asked) this.services.metrics.count('log.relayed', this.foldState.offset - asked)
    }
    this.tellAfterDelay({ type: 'read' })
  }

  /**
   * Counts a read through a peer as contact with the log, unless a network partition is suspected. While
   * the log is unavailable for all hosts, the state of peers cannot be outdated. If only this side of a
   * partition has lost the log, the other side continues and this side would serve with an outdated
   * configuration. A partition is recognised by a failure domain of which no host is reachable.
   */
  private notePeerContact (at: number): void {
    if (this.services.directory.isAnyFailureDomainLost()) this.services.metrics.count('log.cut_suspected')
    else this.freshness.recordContact(at)
  }

  private foldEntries (entries: readonly LogEntry[]): void {
    let folded = 0
    for (const entry of entries) {
      if (entry.offset !== this.foldState.offset) continue
      const skipped = this.foldState.skipped
      this.services.metrics.count('log.characters', entry.data.length)
      const verdicts = foldEntry(this.foldState, entry.offset, entry.data)
      this.recentEntries.push(entry)
      folded++
      if (this.foldState.skipped > skipped) {
        this.services.metrics.count('log.skipped', this.foldState.skipped - skipped)
        this.services.stateLog.alarm('a record cannot be read and is skipped', { offset: entry.offset })
      }
      for (const verdict of verdicts) this.verdictEmitter.fire(verdict)
    }
    while (this.recentEntries.length > this.settings.relayEntries) this.recentEntries.shift()
    if (folded === 0) return
    this.services.metrics.count('log.entries', folded)
    this.changeEmitter.fire()
  }

  private answerRelay ({ from, maximumEntries }: PeerMethods['log.relay']['parameters']): PeerMethods['log.relay']['result'] {
    const first = this.recentEntries[0]?.offset ?? this.foldState.offset
    const entries = from < first ? [] : this.recentEntries.slice(from - first, from - first + Math.min(maximumEntries, MAX_PAGE_ENTRIES))
    return { entries, end: this.hasState ? this.foldState.offset : 0 }
  }

  private offerState (above: number): PeerMethods['log.state']['result'] {
    if (!this.hasState || this.foldState.offset <= above) return null
    const text = snapshot(this.foldState)
    return { offset: this.foldState.offset, digest: this.services.hash.digest(text), snapshot: text }
  }

  private setLogAvailable (available: boolean): void {
    if (available === this.logAvailable) return
    this.logAvailable = available
    this.services.metrics.count(available ? 'log.back' : 'log.lost')
    if (available) this.services.stateLog.changed('the log answers again', { offset: this.foldState.offset })
    else this.services.stateLog.alarm('the log does not answer', { offset: this.foldState.offset })
  }

  private tellAfterDelay (message: Message): void {
    this.services.clock.after(RETRY_DELAY_MS, () => { this.tell(message) })
  }
}
