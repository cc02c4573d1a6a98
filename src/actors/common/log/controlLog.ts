/**
 * Follows the control stream and owns the folded state. Other parts read the state through
 * `FoldView` and never write it.
 *
 * Where the state comes from: the newest checkpoint and the entries after it; while the log does
 * not answer, a peer's state. The state never moves to a lower offset, so a configuration that was
 * in force here never reverts.
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
  /** Verdicts, in log order, after the state holds them. */
  readonly onVerdict: Event<Verdict>
  /** Fires after entries were folded or the state was replaced. */
  readonly onChange: Event<void>
  /** Whether the state may be acted on: read up to a recent end of the log. */
  readonly fresh: boolean
  /** Whether the log answered the last question; false in an outage. */
  readonly logAnswers: boolean
  /** Says that a verdict is awaited as long as the function is true: reads do not pause. */
  readWithoutPauseWhile (awaited: () => boolean): void
  /** Ends a pause between two reads. */
  hurry (): void
}

export interface ControlLogSettings {
  readonly longPollMs: number
  /** Pause after a read that brought entries, while this host awaits no verdict. */
  readonly readPauseMs: number
  readonly freshnessMs: number
  readonly relayEntries: number
}

const PAGE_ENTRIES = 500
const RETRY_MS = 250
const TICK_MS = 250
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
  private current = emptyState()
  private found = false
  private searching = false
  private awaited: () => boolean = () => false
  private pausing: Disposable | undefined
  private answering = true
  private readonly freshness: FreshnessTracker
  private readonly finder: StateFinder
  private readonly recent: LogEntry[] = []
  private readonly verdicts = new Emitter<Verdict>()
  private readonly changes = new Emitter<void>()
  readonly onVerdict = this.verdicts.event
  readonly onChange = this.changes.event

  constructor (private readonly services: ControlLogServices, private readonly settings: ControlLogSettings) {
    super(services.system, 'control-log', services.metrics)
    this.finder = new StateFinder(services)
    this.freshness = new FreshnessTracker({ maxAgeMs: settings.freshnessMs, tickIntervalMs: TICK_MS }, services.clock.monotonic())
    this.disposables.add(services.clock.every(TICK_MS, () => { this.tell({ type: 'tick' }) }))
    this.disposables.add(this.verdicts)
    this.disposables.add(this.changes)
    services.handlers.handle('log.relay', async (parameters) => this.relay(parameters))
    services.handlers.handle('log.state', async ({ above }) => this.offerState(above))
    this.tell({ type: 'find-state' })
  }

  get state (): Readonly<FoldState> {
    return this.current
  }

  get logAnswers (): boolean {
    return this.answering
  }

  get fresh (): boolean {
    return this.found && this.freshness.isFresh(this.services.clock.monotonic())
  }

  readWithoutPauseWhile (awaited: () => boolean): void {
    this.awaited = awaited
  }

  hurry (): void {
    if (this.pausing === undefined) return
    this.pausing.dispose()
    this.pausing = undefined
    this.tell({ type: 'read' })
  }

  protected override receive (message: Message): void {
    switch (message.type) {
      case 'find-state': this.findState(); break
      case 'found': this.adopt(message.state, message.origin); break
      case 'read': this.read(); break
      case 'page': this.takePage(message.result, message.asked, message.at); break
      case 'relayed': this.takeRelayed(message.result, message.asked, message.at); break
      case 'tick': this.tick(); break
      default: unreachable(message)
    }
  }

  protected override failed (error: unknown): void {
    this.services.stateLog.alarm('control log failed', { error: String(error) })
    this.later({ type: 'read' })
  }

  /**
   * A host that was frozen acts on configuration, leases and claims of long ago. It notices by the
   * jump of its own clock between two ticks, and is stale until it has read to the log's end anew.
   */
  private tick (): void {
    if (!this.freshness.tick(this.services.clock.monotonic())) return
    this.services.metrics.count('host.woke')
    this.services.stateLog.alarm('woke from a freeze', { offset: this.current.offset })
  }

  private async findState (): Promise<void> {
    const { state, origin } = await this.finder.find(this.found ? this.current.offset : 0)
    this.tell({ type: 'found', state, origin })
  }

  private adopt (state: FoldState | undefined, origin: string): void {
    if (state === undefined) {
      this.services.metrics.count('state.not_found')
      if (!this.searching) this.services.stateLog.alarm('no state can be found', { origin })
      this.searching = true
      this.later({ type: 'find-state' })
      return
    }
    if (this.found && state.offset < this.current.offset) {
      this.later({ type: 'read' })
      return
    }
    this.current = state
    this.found = true
    this.searching = false
    this.recent.length = 0
    this.services.stateLog.changed('state found', { origin, offset: state.offset })
    this.changes.fire()
    this.tell({ type: 'read' })
  }

  private async read (): Promise<void> {
    const asked = this.current.offset
    const at = this.services.clock.monotonic()
    const waitMs = this.answering ? this.settings.longPollMs : 0
    const result = await this.services.log.read('control', asked, { maximumEntries: PAGE_ENTRIES, waitMs })
    this.tell({ type: 'page', result, asked, at })
  }

  private takePage (result: Result<LogPage>, asked: number, at: number): void {
    if (!result.ok) {
      this.noteLog(false)
      this.askPeer()
      return
    }
    this.noteLog(true)
    const page = result.value
    if (page.first > this.current.offset) {
      this.startOver(page.first)
      return
    }
    if (page.end < asked) {
      this.services.metrics.count('log.end_behind')
      this.services.stateLog.alarm('the log ends before what was read from it', { end: page.end, offset: asked })
      this.later({ type: 'read' })
      return
    }
    this.foldAll(page.entries)
    if (this.current.offset >= page.end) this.freshness.recordContact(at)
    const caughtUp = page.entries.length > 0 && this.current.offset >= page.end
    if (caughtUp && !this.awaited()) this.pause()
    else this.tell({ type: 'read' })
  }

  /**
   * Every append of any host ends every host's long poll. Read one by one, a hundred appends a second
   * cost each host more than control may; after a pause they come in one page.
   */
  private pause (): void {
    this.pausing = this.services.clock.after(this.settings.readPauseMs, () => {
      this.pausing = undefined
      this.tell({ type: 'read' })
    })
  }

  /**
   * A host frozen for longer than the log keeps records would go on after the gap and miss what was
   * in it. Its state is thrown away and found anew; until then nothing here counts as fresh.
   */
  private startOver (first: number): void {
    this.services.metrics.count('log.gap')
    this.services.stateLog.alarm('the log no longer has the next entry', { first, offset: this.current.offset })
    this.freshness.reset()
    this.later({ type: 'find-state' })
  }

  private async askPeer (): Promise<void> {
    const asked = this.current.offset
    const at = this.services.clock.monotonic()
    const [address] = this.services.directory.peerAddresses()
    const result = address === undefined
      ? undefined
      : await this.services.peers.call(address, 'log.relay', { from: asked, maximumEntries: PAGE_ENTRIES }, RELAY_TIMEOUT_MS)
    this.tell({ type: 'relayed', result, asked, at })
  }

  private takeRelayed (result: Result<PeerMethods['log.relay']['result']> | undefined, asked: number, at: number): void {
    if (result?.ok === true) {
      const { entries, end } = result.value
      this.foldAll(entries)
      if (end > this.current.offset && entries.length === 0) {
        this.tell({ type: 'find-state' })
        return
      }
      if (this.current.offset >= end) this.contactThroughPeer(at)
      if (this.current.offset > asked) this.services.metrics.count('log.relayed', this.current.offset - asked)
    }
    this.later({ type: 'read' })
  }

  /**
   * While the log is down for all, what peers have cannot be outdated. While the log is only out of
   * reach for this side of a cut, the other side goes on and this side would serve on old
   * configuration. A cut shows as a whole place lost; then peers' word does not count.
   */
  private contactThroughPeer (at: number): void {
    if (this.services.directory.placeLost()) this.services.metrics.count('log.cut_suspected')
    else this.freshness.recordContact(at)
  }

  private foldAll (entries: readonly LogEntry[]): void {
    let folded = 0
    for (const entry of entries) {
      if (entry.offset !== this.current.offset) continue
      const skipped = this.current.skipped
      this.services.metrics.count('log.characters', entry.data.length)
      const verdicts = foldEntry(this.current, entry.offset, entry.data)
      this.recent.push(entry)
      folded++
      if (this.current.skipped > skipped) {
        this.services.metrics.count('log.skipped', this.current.skipped - skipped)
        this.services.stateLog.alarm('a record cannot be read and is skipped', { offset: entry.offset })
      }
      for (const verdict of verdicts) this.verdicts.fire(verdict)
    }
    while (this.recent.length > this.settings.relayEntries) this.recent.shift()
    if (folded === 0) return
    this.services.metrics.count('log.entries', folded)
    this.changes.fire()
  }

  private relay ({ from, maximumEntries }: PeerMethods['log.relay']['parameters']): PeerMethods['log.relay']['result'] {
    const first = this.recent[0]?.offset ?? this.current.offset
    const entries = from < first ? [] : this.recent.slice(from - first, from - first + Math.min(maximumEntries, PAGE_ENTRIES))
    return { entries, end: this.found ? this.current.offset : 0 }
  }

  private offerState (above: number): PeerMethods['log.state']['result'] {
    if (!this.found || this.current.offset <= above) return null
    const text = snapshot(this.current)
    return { offset: this.current.offset, digest: this.services.hash.digest(text), snapshot: text }
  }

  private noteLog (answers: boolean): void {
    if (answers === this.answering) return
    this.answering = answers
    this.services.metrics.count(answers ? 'log.back' : 'log.lost')
    if (answers) this.services.stateLog.changed('the log answers again', { offset: this.current.offset })
    else this.services.stateLog.alarm('the log does not answer', { offset: this.current.offset })
  }

  private later (message: Message): void {
    this.services.clock.after(RETRY_MS, () => { this.tell(message) })
  }
}
