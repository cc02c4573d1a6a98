/** Old records of ends leave the topic, and the marks with them. */

import { expect } from 'chai'
import { EndsCleaner } from '../../../src/actors/common/routes/endsCleaner.ts'
import { TargetTable } from '../../../src/actors/common/routes/targetTable.ts'
import { GroupAppender } from '../../../src/actors/common/store/groupAppender.ts'
import type { RequestContent } from '../../../src/ports/common/fingerprints.ts'
import { quietLog, quietMetrics } from '../../support/fakeHost.ts'
import { ManualClock, seededChance } from '../../support/manualClock.ts'
import { MemoryKeyedLog } from '../../support/memoryKeyedLog.ts'
import { targetDefinition } from '../../support/routes.ts'
import { ScriptedClient } from '../../support/scriptedClient.ts'
import type { Guards } from '../../support/targetEnds.ts'
import { guards } from '../../support/targetEnds.ts'

const content: RequestContent = { host: 'h', method: 'POST', path: '/a/', caller: undefined, body: 'fatal' }
/** How long a mark is kept, and the time between two looks, in milliseconds. */
const KEPT_MS = 900_000
const LOOK_MS = 10_000

class Scene {
  readonly clock = new ManualClock()
  readonly log = new MemoryKeyedLog()
  readonly duty = { holds: true }
  readonly guards: Guards
  readonly cleaner: EndsCleaner

  constructor () {
    const table = new TargetTable({ clock: this.clock, stateLog: quietLog })
    const client = new ScriptedClient(this.clock, {})
    this.guards = guards(table, client, this.clock, { log: this.log })
    const appender = new GroupAppender({ log: this.log, clock: this.clock, chance: seededChance(9), metrics: quietMetrics }, { maxCallCharacters: 100_000 })
    this.cleaner = new EndsCleaner({ held: this.guards.held, appender, duty: this.duty, clock: this.clock, stateLog: quietLog })
    for (const id of ['1', '2']) {
      table.set(targetDefinition({ id, address: id }))
      client.gone.add(id)
      const target = table.get(id)
      if (target !== undefined) this.guards.ends.begin(target, content, id).broke().catch(() => undefined)
    }
  }

  /** Time passes in steps, and the host reads on. */
  async pass (milliseconds: number): Promise<void> {
    this.clock.freeze(milliseconds)
    await this.clock.advance(LOOK_MS)
    await this.guards.followed.catchUp()
  }
}

describe('the cleaner of ends', () => {
  it('drops records whose time is over, and lets go what they held', async () => {
    const scene = new Scene()
    await scene.pass(0)
    expect([scene.log.newestEntries().length, scene.guards.held.standing(content).type]).to.deep.equal([2, 'held'])
    await scene.pass(KEPT_MS / 2)
    expect(scene.log.newestEntries()).to.have.length(2)
    await scene.pass(KEPT_MS / 2)
    expect([scene.log.newestEntries().length, scene.guards.held.standing(content).type]).to.deep.equal([0, 'free'])
  })

  it('leaves it to the holder of the duty', async () => {
    const scene = new Scene()
    scene.duty.holds = false
    await scene.pass(0)
    await scene.pass(2 * KEPT_MS)
    expect(scene.log.newestEntries()).to.have.length(2)
  })

  it('does nothing once it is disposed of', async () => {
    const scene = new Scene()
    await scene.pass(0)
    scene.cleaner.dispose()
    await scene.pass(2 * KEPT_MS)
    expect(scene.log.newestEntries()).to.have.length(2)
  })
})
