/** Targets that restart under their id and unreadable entries, as they are followed in the store. */

import { expect } from 'chai'
import { TargetTable } from '../../../src/actors/common/routes/targetTable.ts'
import type { KnownTarget } from '../../../src/actors/common/routes/targetTable.ts'
import { TargetTopic } from '../../../src/actors/common/routes/targetTopic.ts'
import { asIncarnation } from '../../../src/base/common/ids.ts'
import { Emitter } from '../../../src/base/common/lifecycle.ts'
import type { StateLog } from '../../../src/ports/common/observation.ts'
import { registryProtocol } from '../../../platform/index.ts'
import { noopMetrics } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { MemoryKeyedLog } from '../../support/memoryKeyedLog.ts'

/** A value written for one target: raw text that is no entry, fields of an entry, or its removal. */
type WrittenValue = string | { born?: number, state?: string, addr?: string, service?: string, leaves_ms?: number } | 'gone'

const entry = (details: object): string => JSON.stringify({ service: 's', addr: '10.0.0.1:80', zone: 'here', version: 'v1', slots: 8, state: 'ready', cold_left_ms: 0, seq: 1, ...details })
const valueOf = (written: WrittenValue): string | undefined => written === 'gone' ? undefined : typeof written === 'string' ? written : entry(written)

class Fixture {
  readonly clock = new ManualClock()
  readonly log = new MemoryKeyedLog()
  readonly lines: string[] = []
  private readonly stateLog: StateLog = {
    changed: (what, { target }) => { if (target !== undefined) this.lines.push(what) },
    alarm: (what, { key }) => { if (key !== undefined) this.lines.push(what) },
    decided: () => undefined
  }

  /** Fires when the store answers again. */
  readonly regained = new Emitter<void>()
  readonly table = new TargetTable({ clock: this.clock, stateLog: this.stateLog })
  readonly topic = new TargetTopic({
    log: {
      append: async (records) => await this.log.append(records),
      readSome: async (from, kilobytes) => await this.log.readSome(from, kilobytes),
      newest: async (after) => await this.log.newest(after),
      read: async (from) => {
        await new Promise<void>((resolve) => { this.clock.after(20, resolve) })
        return await this.log.read(from)
      }
    },
    clock: this.clock,
    metrics: noopMetrics,
    stateLog: this.stateLog,
    onRegained: this.regained.event
  }, { name: 't', pace: () => ({ type: 'long-polls', waitMs: 20, pauseMs: 0 }) }, registryProtocol, this.table)

  async write (...written: readonly (readonly [string, WrittenValue])[]): Promise<void> {
    for (const [id, value] of written) this.log.write([{ key: id, value: valueOf(value) }])
    await this.clock.advance(150)
  }

  available (service = 's'): string[] {
    return this.table.available(service).map(({ definition }) => definition.id)
  }

  /** Forces all entries to be reloaded. */
  async reload (): Promise<void> {
    this.log.first = this.log.entries.length + 1
    await this.clock.advance(200)
    this.log.first = 0
    await this.clock.advance(100)
  }
}

async function startFixture (...written: readonly (readonly [string, WrittenValue])[]): Promise<Fixture> {
  const made = new Fixture()
  made.topic.start()
  await made.write(...written)
  return made
}

/** Records all statistics that a host can gather while it uses a target. */
function simulateUse (target: KnownTarget | undefined): KnownTarget {
  if (target === undefined) throw new Error('no target')
  target.recordAnswerTime(70)
  target.recordLoad({ running: 3, waiting: 2, slots: 8, slowdown: 2.5 })
  target.recordFailure()
  target.recordSend()
  return target
}

describe('a target that restarts under its id', () => {
  it('is a new target to this host, whatever happened in between', async () => {
    // Guards against a restarted target that gets no work, or orders that it refuses, because it is taken
    // for its former incarnation with that one's failures, load and requests in flight.
    const away = async ({ log, clock, regained }: Fixture): Promise<void> => {
      log.down = true
      await clock.advance(2000)
      log.down = false
      regained.fire()
      await clock.advance(200)
    }
    const cases: { name: string, between: (scene: Fixture) => Promise<void>, next: Exclude<WrittenValue, string>, service?: string }[] = [
      { name: 'at once', between: async () => undefined, next: { born: 2 } },
      { name: 'its entry expired', between: async (scene) => { await scene.write(['a', 'gone']) }, next: { born: 2 } },
      { name: 'the store was unavailable', between: away, next: { born: 2 } },
      { name: 'its entry expired while the store was unavailable', between: async (scene) => { await away(scene); await scene.write(['a', 'gone']) }, next: { born: 2 } },
      { name: 'it drained', between: async (scene) => { await scene.write(['a', { born: 1, state: 'draining' }]) }, next: { born: 2 } },
      { name: 'it had restarted before', between: async (scene) => { await scene.write(['a', { born: 2 }]); simulateUse(scene.table.get('a')) }, next: { born: 3 } },
      { name: 'at another address', between: async () => undefined, next: { born: 2, addr: '10.0.0.9:90' } },
      { name: 'at the address of another service', between: async () => undefined, next: { born: 2, addr: '10.0.0.2:80' } },
      { name: 'for another service', between: async () => undefined, next: { born: 2, service: 'o' }, service: 'o' },
      { name: 'the entries were reloaded', between: async (scene) => { await scene.reload() }, next: { born: 2 } }
    ]
    for (const { name, between, next, service } of cases) {
      const here = await startFixture(['a', { born: 1 }], ['b', { born: 1, service: 'o', addr: '10.0.0.2:80' }])
      const former = simulateUse(here.table.get('a'))
      await between(here)
      await here.write(['a', next])
      const target = here.table.get('a')
      expect(here.available(service), name).to.include('a')
      expect(target, name).not.to.equal(former)
      expect([target?.sentSinceReport, target?.slowdown], name).to.deep.equal([0, 1])
      expect([target?.inFlight, target?.report, target?.answerMs, target?.suspect, target?.definition.draining, target?.definition.address], name).to.deep.equal([0, undefined, undefined, false, false, next.addr ?? '10.0.0.1:80'])
      here.topic.dispose()
    }
  })

  it('is not reverted to an earlier incarnation by a late entry', async () => {
    // An unconfirmed append may take effect seconds later, and then the entry of the earlier incarnation is the newest.
    const late: WrittenValue = { born: 1, addr: '10.0.0.7:70' }
    const here = await startFixture(['a', { born: 1 }], ['a', { born: 2, addr: '10.0.0.2:80' }])
    const target = simulateUse(here.table.get('a'))
    await here.write(['a', late])
    await here.reload()
    expect([here.table.get('a') === target, target.definition.address]).to.deep.equal([true, '10.0.0.2:80'])
    await here.write(['a', 'gone'])
    await here.clock.advance(5000)
    await here.write(['a', late])
    expect(here.available()).to.deep.equal([])
    await here.write(['a', { born: 2, addr: '10.0.0.2:80' }])
    expect(here.available()).to.deep.equal(['a'])
    here.topic.dispose()
  })
})

describe('the incarnation in a target\'s report', () => {
  it('is applied if it is newer than the entry, but does not create an entry', async () => {
    // Guards against a target that gets work again after it has left: its last report stated a later incarnation than
    // its entry, and was treated as an entry after the entry was gone.
    const models = [{ model: 'm', version: 4 }]
    const here = await startFixture(['a', { born: 2 }])
    const target = simulateUse(here.table.get('a'))
    const tell = (told: number | undefined): string => here.table.applyReportedIncarnation(target, told === undefined ? undefined : asIncarnation(told), models)
    expect([tell(undefined), tell(2), tell(1)]).to.deep.equal(['same', 'same', 'older'])
    expect(here.table.get('a')).to.equal(target)
    await here.write(['a', 'gone'])
    await here.clock.advance(3000)
    expect([tell(3), here.available()]).to.deep.equal(['newer', []])
    await here.write(['a', { born: 2 }])
    expect(here.available()).to.deep.equal([])
    await here.write(['a', { born: 3 }])
    expect([here.available(), here.table.get('a') === target, target.isSuperseded]).to.deep.equal([['a'], false, true])
    const present = here.table.get('a')
    expect(present === undefined ? '' : here.table.applyReportedIncarnation(present, asIncarnation(4), models)).to.equal('newer')
    expect(here.table.get('a')?.definition).to.deep.include({ incarnation: 4, models })
    here.topic.dispose()
  })
})

describe('an unreadable entry', () => {
  it('defines no target whether loaded or followed, is logged once, and affects no other entry', async () => {
    // Guards against calls to a target whose newest entry is from another writer: a host that followed
    // the topic kept the previous entry, and one that reloaded it waited for the entry.
    const other = { born: 1 }
    for (const broken of ['', '{', '\ufffd', '[]', entry({ born: 'x' }), entry({}), entry({ ...other, state: 'resting' }), entry({ ...other, slots: '8' })].filter((text) => text !== '')) {
      const here = await startFixture(['a', other], ['b', other])
      await here.write(['a', broken], ['a', broken], ['a', broken])
      expect(here.available(), broken).to.deep.equal(['b'])
      await here.reload()
      expect(here.available(), broken).to.deep.equal(['b'])
      expect(here.lines.filter((line) => line === "a target's entry cannot be read"), broken).to.have.length(1)
      await here.write(['a', other])
      expect(here.available(), broken).to.have.members(['a', 'b'])
      await here.write(['a', broken])
      expect(here.lines.filter((line) => line === "a target's entry cannot be read"), broken).to.have.length(2)
      here.topic.dispose()
      const reloaded = await startFixture(['a', other], ['b', other], ['a', broken])
      expect(reloaded.available(), broken).to.deep.equal(['b'])
      reloaded.topic.dispose()
    }
  })

  it('does not include one without an incarnation while no target states one', async () => {
    const here = await startFixture(['a', {}], ['b', {}])
    expect(here.available()).to.deep.equal(['a', 'b'])
    const target = simulateUse(here.table.get('a'))
    await here.write(['a', { addr: '10.0.0.9:90' }])
    expect([here.table.get('a') === target, target.definition.address, here.lines]).to.deep.equal([true, '10.0.0.9:90', ['target registered', 'target registered']])
    here.topic.dispose()
  })
})

describe('an entry of another writer', () => {
  const odd = [
    { name: 'of a service that nobody uses', details: { born: 1_700_000_000_000, service: 'unknown' } },
    { name: 'of the same service', details: { born: 1_700_000_000_000, addr: '10.0.0.66:80' } }
  ]
  for (const { name, details } of odd) {
    it(`${name} that states an incarnation leaves targets that state none in use`, async () => {
      // Guards against a host that uses none of its targets any more because of one entry of another writer.
      const used = ({ table }: Fixture): string[] => table.available('s').map(({ definition }) => definition.id).filter((id) => !id.startsWith('odd'))
      const here = await startFixture(['a', {}], ['b', {}])
      simulateUse(here.table.get('a'))
      for (let count = 0; count < 10; count++) await here.write([`odd-${count}`, details])
      expect(used(here)).to.deep.equal(['a', 'b'])
      await here.reload()
      expect(used(here)).to.deep.equal(['a', 'b'])
      for (let count = 0; count < 10; count++) await here.write([`odd-${count}`, 'gone'])
      await here.write(['c', {}])
      expect(used(here)).to.deep.equal(['a', 'b', 'c'])
      here.topic.dispose()
      const later = await startFixture(['odd-0', details], ['a', {}], ['b', {}])
      expect(used(later)).to.deep.equal(['a', 'b'])
      later.topic.dispose()
    })
  }

  it('that states an incarnation under the id of a target that answered without one does not keep this target away', async () => {
    // Guards against a target that is not used for good because another writer overwrote its entry once.
    const here = await startFixture(['a', {}], ['b', {}])
    here.table.get('a')?.recordAnswerTime(70)
    await here.write(['a', { born: 1_700_000_000_000, addr: '10.0.0.66:80' }])
    await here.write(['a', {}])
    expect([here.available(), here.table.get('a')?.definition.address]).to.deep.equal([['a', 'b'], '10.0.0.1:80'])
    here.topic.dispose()
  })

  it('that states no incarnation is not used once a target of its service that states one has answered', async () => {
    // Guards against requests to an address that another writer named.
    const here = await startFixture(['a', { born: 1 }], ['b', { born: 1 }], ['c', { born: 1, service: 'o' }], ['foreign', { addr: '10.0.0.66:80' }], ['other', { addr: '10.0.0.66:80', service: 'o' }])
    here.table.get('a')?.recordAnswerTime(70)
    expect([here.available(), here.available('o')]).to.deep.equal([['a', 'b'], ['c', 'other']])
    await here.write(['b', 'gone'], ['a', { born: 2 }], ['foreign', { addr: '10.0.0.66:81' }])
    expect([here.available(), here.lines.filter((line) => line === "a target's entry cannot be read").length]).to.deep.equal([['a'], 1])
    const other = here.table.get('c')
    if (other === undefined) throw new Error('no target')
    expect(here.table.applyReportedIncarnation(other, asIncarnation(1), [])).to.equal('same')
    expect(here.available('o')).to.deep.equal(['c'])
    here.topic.dispose()
  })

  it('does not keep away targets that state no incarnation if they have answered, or if no others are left', async () => {
    // Guards against a service without targets because one of them states its incarnation and has left.
    const here = await startFixture(['a', {}], ['b', { born: 1 }], ['c', {}])
    for (const id of ['a', 'b']) here.table.get(id)?.recordAnswerTime(70)
    expect(here.available()).to.deep.equal(['a', 'b'])
    await here.write(['a', 'gone'], ['b', 'gone'])
    expect(here.available()).to.deep.equal(['c'])
    here.topic.dispose()
  })

  it('with an impossible incarnation names no target, and does not keep away the target with its id', async () => {
    // Guards against a target whose entries count as those of an earlier incarnation for good.
    const here = await startFixture(['a', { born: 1 }])
    await here.write(['a', { born: Number.MAX_SAFE_INTEGER }])
    expect(here.available()).to.deep.equal([])
    await here.write(['a', { born: 1 }])
    expect(here.available()).to.deep.equal(['a'])
    here.topic.dispose()
  })
})

describe('the announced end of a target', () => {
  it('is counted from the time at which its entry was read', async () => {
    const fixture = await startFixture(['t', {}])
    const before = fixture.clock.monotonic()
    await fixture.write(['t', { state: 'draining', leaves_ms: 2500 }])
    expect((fixture.table.get('t')?.definition.leavesAtMs ?? 0) - before).to.be.within(2500, 2650)
    fixture.topic.dispose()
  })

  it('is not put off by reading the entry again, and is forgotten with its incarnation', async () => {
    // Guards against items that stay at a target because its end moves on with each reading of the topic.
    const fixture = await startFixture(['t', { born: 1 }])
    await fixture.write(['t', { born: 1, state: 'draining', leaves_ms: 2500 }])
    const leavesAtMs = fixture.table.get('t')?.definition.leavesAtMs
    await fixture.reload()
    expect([typeof leavesAtMs, fixture.table.get('t')?.definition.leavesAtMs]).to.deep.equal(['number', leavesAtMs])
    await fixture.write(['t', { born: 2 }])
    expect(fixture.table.get('t')?.definition.leavesAtMs).to.equal(undefined)
    fixture.topic.dispose()
  })
})
