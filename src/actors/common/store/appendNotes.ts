/**
 * Lines about appends to keyed topics that were refused or not answered, with the way that they
 * went: straight to the store, or through which other host. Whoever asks what became of a record
 * learns there whether a try of it may have been done.
 */

import type { Result } from '../../../base/common/resultCode.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { KeyedLog, KeyedRecord } from '../../../ports/common/keyedLog.ts'
import type { StateLog } from '../../../ports/common/observation.ts'
import type { PeerMethod, PeerMethods, Peers } from '../../../ports/common/peers.ts'

export interface AppendNotesServices {
  readonly clock: Clock
  readonly stateLog: StateLog
}

interface Append {
  readonly topic: string
  readonly records: readonly KeyedRecord[]
  readonly way: string
  readonly began: number
}

/** Time between two lines about refusals of one topic on one way, in milliseconds: an appender is refused a dozen times a second while the store is away. */
const REFUSALS_MS = 1000

export class AppendNotes {
  /** Last line about a refusal by topic and way, and refusals that had none since. */
  private readonly refusals = new Map<string, { writtenAt: number, unwritten: number }>()

  constructor (private readonly services: AppendNotesServices) {}

  /** The same log; its appends are told of as direct ones. */
  ofLog (topic: string, log: KeyedLog): KeyedLog {
    return {
      append: async (records) => {
        const began = this.services.clock.monotonic()
        const result = await log.append(records)
        this.note({ topic, records, way: 'direct', began }, result)
        return result
      },
      read: async (from, waitMs, givenUp) => await log.read(from, waitMs, givenUp),
      readSome: async (from, kilobytes) => await log.readSome(from, kilobytes),
      newest: async (after) => await log.newest(after)
    }
  }

  /** The same hosts; appends through them are told of with the host's address. */
  ofPeers (peers: Peers): Peers {
    return {
      call: async (address, method, parameters, timeoutMs) => {
        const began = this.services.clock.monotonic()
        const answer = await peers.call(address, method, parameters, timeoutMs)
        if (isAppend(method, parameters)) this.note({ ...parameters, way: address, began }, answer.ok ? answer.value as PeerMethods['store.append']['result'] : answer)
        return answer
      }
    }
  }

  private note ({ topic, records, way, began }: Append, result: Result<number>): void {
    if (result.ok) return
    const now = this.services.clock.monotonic()
    const refusal = result.code === 'logUnavailable'
    const last = this.refusals.get(`${topic} ${way}`)
    if (refusal && last !== undefined && now - last.writtenAt < REFUSALS_MS) {
      last.unwritten++
      return
    }
    const unwritten = refusal ? last?.unwritten ?? 0 : 0
    if (refusal) this.refusals.set(`${topic} ${way}`, { writtenAt: now, unwritten: 0 })
    this.services.stateLog.decided('append not confirmed', { topic, records: records.length, key: records[0]?.key ?? '', way, code: result.code, tookMs: Math.round(now - began), failed: true, unwritten })
  }
}

/** Whether a call to another host is an append. */
function isAppend (method: PeerMethod, parameters: PeerMethods[PeerMethod]['parameters']): parameters is PeerMethods['store.append']['parameters'] {
  return method === 'store.append' && 'records' in parameters
}
