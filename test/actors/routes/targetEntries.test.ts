/** Entries of targets that are rewritten as heartbeats: which are decoded, and how many lines registrations cause. */

import { expect } from 'chai'
import { TargetTable } from '../../../src/actors/common/routes/targetTable.ts'
import { TargetTopic } from '../../../src/actors/common/routes/targetTopic.ts'
import { Emitter } from '../../../src/base/common/lifecycle.ts'
import { asIncarnation } from '../../../src/base/common/ids.ts'
import type { Metrics, StateLog } from '../../../src/ports/common/observation.ts'
import type { RegistryProtocol } from '../../../src/ports/common/protocols.ts'
import { registryProtocol } from '../../../platform/index.ts'
import { noopMetrics, noopStateLog } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { MemoryKeyedLog } from '../../support/memoryKeyedLog.ts'

const entry = (details: object): string => JSON.stringify({ service: 's', addr: '10.0.0.1:80', zone: 'here', version: 'v1', slots: 8, state: 'ready', cold_left_ms: 0, seq: 1, born: 5, ...details })

class Host {
  readonly clock = new ManualClock()
  readonly log = new MemoryKeyedLog()
  readonly lines: { what: string, details: Record<string, unknown> }[] = []
  readonly counts = new Map<string, number>()
  changes = 0
  decoded = 0
  private readonly stateLog: StateLog = { ...noopStateLog, changed: (what, details) => { this.lines.push({ what, details }) } }
  private readonly metrics: Metrics = { ...noopMetrics, count: (name, by = 1) => { this.counts.set(name, (this.counts.get(name) ?? 0) + by) } }
  private readonly protocol: RegistryProtocol = {
    ...registryProtocol,
    target: (record) => {
      this.decoded++
      return registryProtocol.target(record)
    }
  }

  readonly table = new TargetTable({ clock: this.clock, stateLog: this.stateLog })
  readonly topic = new TargetTopic({ log: this.log, clock: this.clock, metrics: this.metrics, stateLog: noopStateLog, onRegained: new Emitter<void>().event }, { name: 't', pace: () => ({ type: 'at-intervals', waitMs: 1000, intervalMs: 1500 }) }, this.protocol, this.table)

  constructor () {
    this.table.onChange(() => { this.changes++ })
  }

  async write (key: string, value: string | undefined): Promise<void> {
    this.log.write([{ key, value }])
    await this.clock.advance(1600)
  }
}

describe('entries of targets', () => {
  it('that differ only in the heartbeat counter are not decoded again and change nothing', async () => {
    // Guards against the cost of heartbeats: 45 targets write 37 entries a second, each decoded and validated by every host.
    const host = new Host()
    host.log.write([{ key: 'a', value: entry({}) }])
    host.topic.start()
    await host.clock.advance(100)
    const target = host.table.get('a')
    for (let seq = 2; seq < 12; seq++) await host.write('a', entry({ seq }))
    expect([host.decoded, host.changes, host.table.get('a') === target]).to.deep.equal([1, 1, true])
    await host.write('a', entry({ seq: 12, state: 'draining' }))
    expect([host.decoded, host.changes, target?.definition.draining]).to.deep.equal([2, 2, true])
    host.topic.dispose()
  })

  it('are applied again after they were gone, unreadable, or replaced by a report of the target', async () => {
    // Guards against a target that stays away because its unchanged entry is taken for one that is already applied.
    const host = new Host()
    host.log.write([{ key: 'a', value: entry({}) }])
    host.topic.start()
    await host.clock.advance(100)
    await host.write('a', undefined)
    expect(host.table.get('a')).to.equal(undefined)
    await host.write('a', entry({ seq: 2 }))
    expect(host.table.available('s')).to.have.length(1)
    await host.write('a', '{}')
    expect(host.table.available('s')).to.have.length(0)
    await host.write('a', '{}')
    expect(host.counts.get('targets.unreadable_entries')).to.equal(2)
    await host.write('a', entry({ seq: 3 }))
    const [known] = host.table.available('s')
    if (known === undefined) throw new Error('the target is not known')
    expect(host.table.applyReportedIncarnation(known, asIncarnation(9), [])).to.equal('newer')
    await host.write('a', entry({ seq: 4 }))
    expect([host.table.get('a')?.definition.incarnation, host.counts.get('targets.outdated_entries')]).to.deep.equal([9, 1])
    host.topic.dispose()
  })

  it('have the same content only if nothing but the counter differs', () => {
    const { targetContent } = registryProtocol
    expect(targetContent(entry({ seq: 7 }))).to.equal(targetContent(entry({ seq: 123_456 })))
    const text = entry({ seq: 7 })
    const others = [entry({ seq: 7, slots: 9 }), entry({ seq: '7' }), entry({ seq: 7.5 }), entry({ seq: -7 }), entry({ seq: null }), text.replace('"seq":7', '"seq":07'), text.replace('"seq":7', '"seq":7,"seq":"x"'), text.replace('"v1"', '"\\"seq\\":7"')]
    for (const other of others) expect(targetContent(other), other).to.not.equal(targetContent(text))
    expect(targetContent(text.replace('"v1"', '"\\"seq\\":7"'))).to.not.equal(targetContent(text.replace('"v1"', '"\\"seq\\":8"')))
  })

  it('that arrive one after the other are logged in few lines', async () => {
    // Guards against 4,050 lines at the start of a deployment: 45 targets registered one by one at each of 90 hosts.
    const host = new Host()
    host.log.write([{ key: 't-0', value: entry({}) }])
    host.topic.start()
    await host.clock.advance(100)
    for (let number = 1; number < 45; number++) {
      host.log.write([{ key: `t-${number}`, value: entry({ born: number }) }])
      await host.clock.advance(110)
    }
    await host.clock.advance(6000)
    expect(host.lines.length).to.be.at.most(8)
    const registered = host.lines.flatMap(({ what, details }) => what === 'target registered' ? [String(details['target'])] : what === 'targets registered' ? String(details['ids']).split(' ') : [])
    expect(new Set(registered).size).to.equal(44)
    expect(registered).to.have.length(44)
    // A registration later is logged at once, and a pending one before the next line about the same target.
    await host.write('u', entry({ born: 99 }))
    expect(host.lines.at(-1)).to.deep.equal({ what: 'target registered', details: { target: 'u', service: 's', place: 'here' } })
    for (const key of ['v', 'w', 'x']) host.log.write([{ key, value: entry({ born: 100 }) }])
    host.log.write([{ key: 'x', value: undefined }])
    await host.clock.advance(1600)
    expect(host.lines.slice(-2).map(({ what, details }) => `${what} ${String(details['target'])}`)).to.deep.equal(['target registered x', 'target gone x'])
    host.topic.dispose()
  })
})
