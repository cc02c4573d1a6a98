/** Expired crash records are dropped from the topic, and the marks with them. */

import { expect } from 'chai'
import { CrashRecordCleaner } from '../../../src/actors/common/routes/crashRecordCleaner.ts'
import { TargetTable } from '../../../src/actors/common/routes/targetTable.ts'
import { GroupAppender } from '../../../src/actors/common/store/groupAppender.ts'
import type { RequestContent } from '../../../src/ports/common/fingerprints.ts'
import { noopStateLog, noopMetrics } from '../../support/fakeHost.ts'
import { ManualClock, newSeededChance } from '../../support/manualClock.ts'
import { MemoryKeyedLog } from '../../support/memoryKeyedLog.ts'
import { newTargetDefinition } from '../../support/routes.ts'
import { ScriptedClient } from '../../support/scriptedClient.ts'
import type { CrashGuards } from '../../support/targetEnds.ts'
import { newCrashGuards } from '../../support/targetEnds.ts'

const content: RequestContent = { host: 'h', method: 'POST', path: '/a/', caller: undefined, body: 'fatal' }
/** Retention period of a mark, and interval between cleanup runs. */
const MARK_RETENTION_MS = 900_000
const CLEANUP_INTERVAL_MS = 10_000

class Scene {
  readonly clock = new ManualClock()
  readonly log = new MemoryKeyedLog()
  readonly duty = { holds: true }
  readonly guards: CrashGuards
  readonly cleaner: CrashRecordCleaner

  constructor () {
    const table = new TargetTable({ clock: this.clock, stateLog: noopStateLog })
    const client = new ScriptedClient(this.clock, {})
    this.guards = newCrashGuards(table, client, this.clock, { log: this.log })
    const appender = new GroupAppender({ log: this.log, clock: this.clock, chance: newSeededChance(9), metrics: noopMetrics }, { maxCallCharacters: 100_000 })
    this.cleaner = new CrashRecordCleaner({ held: this.guards.held, appender, duty: this.duty, clock: this.clock, stateLog: noopStateLog })
    for (const id of ['1', '2']) {
      table.set(newTargetDefinition({ id, address: id }))
      client.closedAddresses.add(id)
      const target = table.get(id)
      if (target !== undefined) this.guards.ends.track(target, content, id).connectionBroke().catch(() => undefined)
    }
  }

  /** Advances the clock past one cleanup run, and has the host catch up with the topic. */
  async advance (milliseconds: number): Promise<void> {
    this.clock.freeze(milliseconds)
    await this.clock.advance(CLEANUP_INTERVAL_MS)
    await this.guards.followed.catchUp()
  }
}

describe('CrashRecordCleaner', () => {
  it('drops expired records and releases the requests that they held', async () => {
    const scene = new Scene()
    await scene.advance(0)
    expect([scene.log.newestEntries().length, scene.guards.held.standing(content).type]).to.deep.equal([2, 'held'])
    await scene.advance(MARK_RETENTION_MS / 2)
    expect(scene.log.newestEntries()).to.have.length(2)
    await scene.advance(MARK_RETENTION_MS / 2)
    expect([scene.log.newestEntries().length, scene.guards.held.standing(content).type]).to.deep.equal([0, 'free'])
  })

  it('does nothing on a host that does not hold the duty', async () => {
    const scene = new Scene()
    scene.duty.holds = false
    await scene.advance(0)
    await scene.advance(2 * MARK_RETENTION_MS)
    expect(scene.log.newestEntries()).to.have.length(2)
  })

  it('does nothing after it is disposed of', async () => {
    const scene = new Scene()
    await scene.advance(0)
    scene.cleaner.dispose()
    await scene.advance(2 * MARK_RETENTION_MS)
    expect(scene.log.newestEntries()).to.have.length(2)
  })
})
