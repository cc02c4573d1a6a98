/**
 * Hosts over fakes: one log in memory with faults, and for each host the real control log, appender,
 * service calls and desks, on a clock that the test moves.
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
import type { Service, ServiceAnswer, ServiceCall } from '../../src/ports/common/targets.ts'
import type { ManualClock } from './manualClock.ts'
import { seededChance } from './manualClock.ts'

/** The platform's log in memory. */
export class FakeLog {
  readonly streams: Record<StreamName, string[]> = { control: [], payload: [], checkpoint: [] }
  down = false
  /** So many appends take effect and their answers are lost. */
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

/** A service that keeps its own record of what it ran. */
export class FakeService {
  readonly ran: string[] = []
  loseAnswers = 0
  refuse = false

  call (call: ServiceCall): Result<ServiceAnswer> {
    if (this.refuse) return failure('targetRefused', 'refused')
    this.ran.push(call.requestId)
    if (this.loseAnswers > 0) {
      this.loseAnswers--
      return failure('unknownOutcome', 'lost')
    }
    return success({ status: 200, contentType: 'text/plain', body: `entry ${this.ran.length}` })
  }
}

export const quietMetrics: Metrics = { count: () => undefined, gauge: () => undefined, timing: () => undefined }
export const quietLog: StateLog = { changed: () => undefined, alarm: () => undefined, decided: () => undefined }
export const noHandlers: PeerHandlers = { handle: () => undefined }
export const noPeers: Peers = { call: async () => failure('targetUnreachable', 'nobody') }
const plainHash: Hash = { digest: (text) => String(text.length), number: (text) => text.length }
const READ_PERIOD_MS = 10

/** One host. While frozen, nothing goes out of it and nothing comes in. */
export class FakeHost {
  readonly fold: ControlLog
  readonly appender: Appender
  readonly calls: ServiceCalls
  readonly trainerDesk: TrainerService
  private awake: Promise<void> = Promise.resolve()
  private wakeUp: (() => void) | undefined
  readonly id: HostId

  constructor (name: string, private readonly log: FakeLog, service: FakeService, readonly clock: ManualClock, seed: number, members: () => readonly { host: HostId, status: string }[]) {
    this.id = asHostId(name)
    const system = start()
    const chance = seededChance(seed)
    const port: Log = {
      append: async (stream, data) => await this.through(() => this.log.append(stream, data)),
      read: async (stream, from, options) => {
        if (options.waitMs > 0) await new Promise<void>((resolve) => { clock.after(READ_PERIOD_MS, resolve) })
        return await this.through(() => this.log.read(stream, from, options))
      }
    }
    const serviceAdapter: Service = { call: async (_address, call) => await this.through(() => service.call(call)) }
    const base = { system, clock, chance, hash: plainHash, metrics: quietMetrics, stateLog: quietLog }
    this.fold = new ControlLog({ ...base, log: port, peers: noPeers, handlers: noHandlers, directory: { peerAddresses: () => [], isAnyFailureDomainLost: () => false } }, { longPollMs: 100, readPauseMs: 30, freshnessMs: 1000, relayEntries: 100 })
    this.appender = new Appender({ ...base, log: port, fold: this.fold }, { batchDelayMs: 1, queue: 1000 })
    this.calls = new ServiceCalls({
      ...base,
      grants: { acquire: async () => success({ target: asTargetName('t'), address: 'http://t', useBefore: Number.MAX_SAFE_INTEGER, revoked: new AbortController().signal, release: () => undefined }) },
      service: serviceAdapter,
      appender: this.appender,
      fold: this.fold,
      membership: { members: members as never },
      budget: new RetryBudget({ ratio: 0, maximum: 0 })
    }, { claimWaitMs: 500, host: this.id })
    this.trainerDesk = new TrainerService({ ...base, fold: this.fold, appender: this.appender, payloads: new PayloadStore(port) }, 500)
  }

  freeze (): void {
    if (this.wakeUp !== undefined) return
    this.awake = new Promise((resolve) => { this.wakeUp = resolve })
  }

  wake (): void {
    this.wakeUp?.()
    this.wakeUp = undefined
  }

  dispose (): void {
    this.wake()
    this.appender.dispose()
    this.fold.dispose()
  }

  private async through<T> (act: () => T): Promise<T> {
    await this.awake
    const result = act()
    await this.awake
    return result
  }
}
