/** Crash detection of targets and the requests that are held back after crashes, for tests of calls and runs. */

import { RequestQuarantine } from '../../src/actors/common/routes/requestQuarantine.ts'
import { TargetCrashDetector } from '../../src/actors/common/routes/targetCrashDetector.ts'
import type { TargetTable } from '../../src/actors/common/routes/targetTable.ts'
import { GroupAppender } from '../../src/actors/common/store/groupAppender.ts'
import type { TailListener } from '../../src/actors/common/store/keyedTail.ts'
import { sha256Fingerprints } from '../../src/adapters/node/sha256Fingerprints.ts'
import { allMechanisms } from '../../src/core/common/mechanisms.ts'
import type { Clock } from '../../src/ports/common/clock.ts'
import type { StateLog } from '../../src/ports/common/observation.ts'
import type { TargetClient } from '../../src/ports/common/targetClient.ts'
import { noopStateLog, noopMetrics } from './fakeHost.ts'
import { newSeededChance } from './manualClock.ts'
import { MemoryKeyedLog } from './memoryKeyedLog.ts'

export function newTargetEnds (targets: Pick<TargetTable, 'onGone'>, client: Pick<TargetClient, 'listens'>, clock: Clock, stateLog: StateLog = noopStateLog): TargetCrashDetector {
  return new TargetCrashDetector({ targets, client, fingerprints: sha256Fingerprints, clock, metrics: noopMetrics, stateLog })
}

/** A fake tail of a keyed topic. It reads new entries only when `catchUp` is called. */
export class FakeKeyedTail {
  private readonly listeners: TailListener[] = []
  private position = 0

  constructor (readonly log: MemoryKeyedLog) {}

  share (listener: TailListener): void {
    this.listeners.push(listener)
  }

  async catchUp (): Promise<boolean> {
    if (this.log.down) return false
    const entries = this.log.entries.slice(this.position)
    this.position = this.log.entries.length
    for (const sharer of this.listeners) sharer.apply(entries)
    return true
  }

  /** Resets the listeners to the newest record of each key, as at the start of a host. */
  reload (): void {
    this.position = this.log.entries.length
    for (const sharer of this.listeners) sharer.reset(this.log.newestEntries().sort((a, b) => a.offset - b.offset))
  }
}

export interface CrashGuards {
  readonly ends: TargetCrashDetector
  readonly held: RequestQuarantine
  readonly followed: FakeKeyedTail
}

/** Creates the crash detection and the held requests of one host, over a new topic or one shared with other hosts. */
export function newCrashGuards (targets: Pick<TargetTable, 'onGone' | 'available'>, client: Pick<TargetClient, 'listens'>, clock: Clock, { log = new MemoryKeyedLog(), seed = 1, stateLog = noopStateLog, held = true }: { log?: MemoryKeyedLog, seed?: number, stateLog?: StateLog, held?: boolean } = {}): CrashGuards {
  const ends = newTargetEnds(targets, client, clock, stateLog)
  const followed = new FakeKeyedTail(log)
  const services = { clock, chance: newSeededChance(seed), metrics: noopMetrics, stateLog }
  const appender = new GroupAppender({ ...services, log }, { maxCallCharacters: 100_000 })
  return { ends, followed, held: new RequestQuarantine({ ...services, ends, targets, topic: followed, appender, fingerprints: sha256Fingerprints, mechanisms: { ...allMechanisms, held_requests: held } }) }
}
