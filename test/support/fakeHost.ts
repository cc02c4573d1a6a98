/**
 * Hosts on top of fakes. They share a log in memory that can fail; each has the real control log, appender,
 * service calls and trainer desk, on a clock that the test advances.
 */

import { start } from 'nact'
import { Appender } from '../../src/actors/common/log/appender.ts'
import { ControlLog } from '../../src/actors/common/log/controlLog.ts'
import { ServiceCalls } from '../../src/actors/common/requests/serviceCalls.ts'
import { PayloadStore } from '../../src/actors/common/samples/payloadStore.ts'
import { TrainerService } from '../../src/actors/common/samples/trainerService.ts'
import type { HostId } from '../../src/base/common/ids.ts'
import { asHostId, asTargetName } from '../../src/base/common/ids.ts'
import { failure, success } from '../../src/base/common/resultCode.ts'
import type { Result } from '../../src/base/common/resultCode.ts'
import { RetryBudget } from '../../src/core/common/requests/retryBudget.ts'
import type { Hash } from '../../src/ports/common/hash.ts'
import type { Log, LogPage, ReadOptions, StreamName } from '../../src/ports/common/log.ts'
import type { Metrics, StateLog } from '../../src/ports/common/observation.ts'
import type { PeerHandlers, Peers } from '../../src/ports/common/peers.ts'
import type { Service, ServiceResponse, ServiceCall } from '../../src/ports/common/targets.ts'
import type { ManualClock } from './manualClock.ts'
import { newSeededChance } from './manualClock.ts'

/** An in-memory implementation of the platform's log. */
export class FakeLog {
  readonly streams: Record<StreamName, string[]> = { control: [], payload: [], checkpoint: [] }
  down = false
  /** Number of appends that take effect but whose answer is lost. */
  loseAnswers = 0

  append (stream: StreamName, data: string): Result<number> {
    if (this.down) return failure('logUnavailable', 'down')
    this.streams[stream].push(data)
    if (this.loseAnswers > 0) {
      this.loseAnswers--
      return failure('commandUnknown', 'lost')
    }
    return success(this.streams[stream].length - 1)
  }

  read (stream: StreamName, from: number, { maximumEntries }: ReadOptions): Result<LogPage> {
    if (this.down) return failure('logUnavailable', 'down')
    const entries = this.streams[stream].slice(from, from + maximumEntries).map((data, index) => ({ offset: from + index, data }))
    return success({ first: 0, end: this.streams[stream].length, entries })
  }
}

/** A service that records the calls that it executed. */
export class FakeService {
  readonly ran: string[] = []
  loseAnswers = 0
  refuse = false

  call (call: ServiceCall): Result<ServiceResponse> {
    if (this.refuse) return failure('targetRefused', 'refused')
    this.ran.push(call.requestId)
    if (this.loseAnswers > 0) {
      this.loseAnswers--
      return failure('unknownOutcome', 'lost')
    }
    return success({ status: 200, contentType: 'text/plain', body: `entry ${this.ran.length}` })
  }
}

export const noopMetrics: Metrics = { count: () => undefined, gauge: () => undefined, timing: () => undefined }
export const noopStateLog: StateLog = { changed: () => undefined, alarm: () => undefined, decided: () => undefined }
export const noopPeerHandlers: PeerHandlers = { handle: () => undefined }
export const unreachablePeers: Peers = { call: async () => failure('targetUnreachable', 'nobody') }
const lengthHash: Hash = { digest: (text) => String(text.length), number: (text) => text.length }
const READ_PERIOD_MS = 10

/** One host. While it is frozen, no call leaves it and no answer reaches it. */
export class FakeHost {
  readonly fold: ControlLog
  readonly appender: Appender
  readonly calls: ServiceCalls
  readonly trainerDesk: TrainerService
  private resumed: Promise<void> = Promise.resolve()
  private signalResume: (() => void) | undefined
  readonly id: HostId

  constructor (name: string, private readonly log: FakeLog, service: FakeService, readonly clock: ManualClock, seed: number, members: () => readonly { host: HostId, status: string }[]) {
    this.id = asHostId(name)
    const system = start()
    const chance = newSeededChance(seed)
    const logPort: Log = {
      append: async (stream, data) => await this.whileAwake(() => this.log.append(stream, data)),
      read: async (stream, from, options) => {
        if (options.waitMs > 0) await new Promise<void>((resolve) => { clock.after(READ_PERIOD_MS, resolve) })
        return await this.whileAwake(() => this.log.read(stream, from, options))
      }
    }
    const serviceAdapter: Service = { call: async (_address, call) => await this.whileAwake(() => service.call(call)) }
    const base = { system, clock, chance, hash: lengthHash, metrics: noopMetrics, stateLog: noopStateLog }
    this.fold = new ControlLog({ ...base, log: logPort, peers: unreachablePeers, handlers: noopPeerHandlers, directory: { peerAddresses: () => [], isAnyFailureDomainLost: () => false } }, { longPollMs: 100, readPauseMs: 30, freshnessMs: 1000, relayEntries: 100 })
    this.appender = new Appender({ ...base, log: logPort, fold: this.fold }, { batchDelayMs: 1, queue: 1000 })
    this.calls = new ServiceCalls({
      ...base,
      grants: { acquire: async () => success({ target: asTargetName('t'), address: 'http://t', useBefore: Number.MAX_SAFE_INTEGER, revoked: new AbortController().signal, release: () => undefined }) },
      service: serviceAdapter,
      appender: this.appender,
      fold: this.fold,
      membership: { members: members as never },
      budget: new RetryBudget({ ratio: 0, maximum: 0 })
    }, { claimWaitMs: 500, host: this.id })
    this.trainerDesk = new TrainerService({ ...base, fold: this.fold, appender: this.appender, payloads: new PayloadStore(logPort) }, 500)
  }

  freeze (): void {
    if (this.signalResume !== undefined) return
    this.resumed = new Promise((resolve) => { this.signalResume = resolve })
  }

  resume (): void {
    this.signalResume?.()
    this.signalResume = undefined
  }

  dispose (): void {
    this.resume()
    this.appender.dispose()
    this.fold.dispose()
  }

  private async whileAwake<T> (action: () => T): Promise<T> {
    await this.resumed
    const result = action()
    await this.resumed
    return result
  }
}
