/**
 * Logs appends to keyed topics that were refused or not answered, with the route that they took:
 * directly to the store, or through another host. The log lines show for each record whether an
 * attempt to append it may have been applied.
 */

import type { Result } from '../../../base/common/resultCode.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { KeyedLog, KeyedRecord } from '../../../ports/common/keyedLog.ts'
import type { StateLog } from '../../../ports/common/observation.ts'
import type { PeerMethod, PeerMethods, Peers } from '../../../ports/common/peers.ts'

export interface AppendFailureLoggerServices {
  readonly clock: Clock
  readonly stateLog: StateLog
}

interface AppendAttempt {
  readonly topic: string
  readonly records: readonly KeyedRecord[]
  readonly way: string
  readonly startedAt: number
}

/** Minimum time between two log lines about refusals for the same topic and route: while the store is unavailable, an appender is refused a dozen times per second. */
const REFUSAL_LOG_INTERVAL_MS = 1000

export class AppendFailureLogger {
  /** Time of the last logged refusal and the number of refusals suppressed since, by topic and route. */
  private readonly refusalsByRoute = new Map<string, { writtenAt: number, unwritten: number }>()

  constructor (private readonly services: AppendFailureLoggerServices) {}

  /** Returns the same log with its failed appends logged as direct ones. */
  wrapLog (topic: string, log: KeyedLog): KeyedLog {
    return {
      append: async (records) => {
        const startedAt = this.services.clock.monotonic()
        const result = await log.append(records)
        this.logFailure({ topic, records, way: 'direct', startedAt }, result)
        return result
      },
      read: async (from, waitMs, signal) => await log.read(from, waitMs, signal),
      readSome: async (from, kilobytes) => await log.readSome(from, kilobytes),
      newest: async (after) => await log.newest(after)
    }
  }

  /** Returns the same peers with failed appends through them logged with the address of the relaying host. */
  wrapPeers (peers: Peers): Peers {
    return {
      call: async (address, method, parameters, timeoutMs) => {
        const startedAt = this.services.clock.monotonic()
        const answer = await peers.call(address, method, parameters, timeoutMs)
        if (isAppendCall(method, parameters)) this.logFailure({ ...parameters, way: address, startedAt }, answer.ok ? answer.value as PeerMethods['store.append']['result'] : answer)
        return answer
      }
    }
  }

  private logFailure ({ topic, records, way, startedAt }: AppendAttempt, result: Result<number>): void {
    if (result.ok) return
    const now = this.services.clock.monotonic()
    const isRefusal = result.code === 'logUnavailable'
    const lastRefusal = this.refusalsByRoute.get(`${topic} ${way}`)
    if (isRefusal && lastRefusal !== undefined && now - lastRefusal.writtenAt < REFUSAL_LOG_INTERVAL_MS) {
      lastRefusal.unwritten++
      return
    }
    const unwritten = isRefusal ? lastRefusal?.unwritten ?? 0 : 0
    if (isRefusal) this.refusalsByRoute.set(`${topic} ${way}`, { writtenAt: now, unwritten: 0 })
    this.services.stateLog.decided('append not confirmed', { topic, records: records.length, key: records[0]?.key ?? '', way, code: result.code, tookMs: Math.round(now - startedAt), failed: true, unwritten })
  }
}

/** Returns whether a call to another host is an append. */
function isAppendCall (method: PeerMethod, parameters: PeerMethods[PeerMethod]['parameters']): parameters is PeerMethods['store.append']['parameters'] {
  return method === 'store.append' && 'records' in parameters
}
