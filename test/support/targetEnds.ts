/** The watch for ends of targets and what it holds back, as tests of calls and runs need them. */

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
import { quietLog, quietMetrics } from './fakeHost.ts'
import { seededChance } from './manualClock.ts'
import { MemoryKeyedLog } from './memoryKeyedLog.ts'

export function watchEnds (targets: Pick<TargetTable, 'onGone'>, client: Pick<TargetClient, 'listens'>, clock: Clock, stateLog: StateLog = quietLog): TargetCrashDetector {
  return new TargetCrashDetector({ targets, client, fingerprints: sha256Fingerprints, clock, metrics: quietMetrics, stateLog })
}

/** The topic as a host follows it: it has read what was written when `catchUp` is called. */
export class FollowedLog {
  private readonly sharers: TailListener[] = []
  private position = 0

  constructor (readonly log: MemoryKeyedLog) {}

  share (sharer: TailListener): void {
    this.sharers.push(sharer)
  }

  async catchUp (): Promise<boolean> {
    if (this.log.down) return false
    const entries = this.log.entries.slice(this.position)
    this.position = this.log.entries.length
    for (const sharer of this.sharers) sharer.apply(entries)
    return true
  }

  /** Reads all newest records, as a host that starts does. */
  reload (): void {
    this.position = this.log.entries.length
    for (const sharer of this.sharers) sharer.reset(this.log.newestEntries().sort((a, b) => a.offset - b.offset))
  }
}

export interface Guards {
  readonly ends: TargetCrashDetector
  readonly held: RequestQuarantine
  readonly followed: FollowedLog
}

/** Both, of one host, over a topic of its own or a shared one. */
export function guards (targets: Pick<TargetTable, 'onGone' | 'available'>, client: Pick<TargetClient, 'listens'>, clock: Clock, { log = new MemoryKeyedLog(), seed = 1, stateLog = quietLog, held = true }: { log?: MemoryKeyedLog, seed?: number, stateLog?: StateLog, held?: boolean } = {}): Guards {
  const ends = watchEnds(targets, client, clock, stateLog)
  const followed = new FollowedLog(log)
  const services = { clock, chance: seededChance(seed), metrics: quietMetrics, stateLog }
  const appender = new GroupAppender({ ...services, log }, { maxCallCharacters: 100_000 })
  return { ends, followed, held: new RequestQuarantine({ ...services, ends, targets, topic: followed, appender, fingerprints: sha256Fingerprints, mechanisms: { ...allMechanisms, held_requests: held } }) }
}
