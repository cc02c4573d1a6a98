/** Tests the log lines that a host writes about other hosts. */

import { expect } from 'chai'
import { start } from 'nact'
import { Membership } from '../../../src/actors/common/membership/membership.ts'
import { asHostId, asFailureDomain } from '../../../src/base/common/ids.ts'
import type { MemberStatus, MemberUpdate } from '../../../src/core/common/membership/memberTable.ts'
import type { PeerHandlers, Peers, ProbeMessage } from '../../../src/ports/common/peers.ts'
import { noopMetrics } from '../../support/fakeHost.ts'
import { ManualClock, newSeededChance } from '../../support/manualClock.ts'
import { RecordedLog } from '../../support/recordedLog.ts'

const update = (name: string, status: MemberStatus = 'alive', incarnation = 1): MemberUpdate => ({ host: asHostId(name), address: `http://${name}`, place: asFailureDomain('p'), status, incarnation })

/** Peers that neither answer nor refuse a probe, so that updates only arrive with received probes. */
const unansweringPeers: Peers = { call: async () => await new Promise(() => undefined) }

describe('membership log lines', () => {
  let clock: ManualClock
  let log: RecordedLog
  let membership: Membership
  let receiveUpdates: (updates: readonly MemberUpdate[]) => Promise<void>

  beforeEach(() => {
    clock = new ManualClock()
    log = new RecordedLog()
    const answers = new Map<string, (message: ProbeMessage) => Promise<unknown>>()
    const handlers: PeerHandlers = { handle: (method, handler) => { answers.set(method, handler as never) } }
    const hash = { digest: (text: string) => text, number: () => 0 }
    membership = new Membership({ system: start(), peers: unansweringPeers, handlers, clock, chance: newSeededChance(1), hash, metrics: noopMetrics, stateLog: log }, {
      seeds: [], probePeriodMs: 10_000, probeTimeoutMs: 100, indirect: 0, suspicionMs: 60_000, forgetMs: 600_000, fullExchangeIntervalMs: 1000
    }, update('self'))
    receiveUpdates = async (updates) => {
      const [from, ...rest] = updates
      if (from === undefined) return
      await answers.get('membership.probe')?.({ from, updates: rest, offset: 0, load: 0, reachesStore: true, pressures: {}, digest: '', full: false })
    }
  })
  afterEach(() => { membership.dispose() })

  it('combine all hosts that become known within a short time', async () => {
    // Guards against log lines that are lost: after a restart of 84 hosts each host had logged a line for every other
    // host. These were two thirds of all retained lines, and the lines about steps had been dropped.
    await receiveUpdates([update('a'), update('b'), update('c')])
    await clock.advance(100)
    await receiveUpdates([update('d'), update('e', 'dead')])
    await clock.advance(2000)
    expect(log.lines).to.deep.equal([{ what: 'hosts known', details: { hosts: 5, alive: 4, leaving: 0, suspect: 0, dead: 1, known: 6 } }])
  })

  it('report a single host separately, with its former status', async () => {
    await receiveUpdates([update('a'), update('b')])
    await clock.advance(2000)
    await receiveUpdates([update('c')])
    await clock.advance(2000)
    await receiveUpdates([update('a'), update('b', 'dead')])
    await clock.advance(2000)
    expect(log.detailsOf('host status')).to.deep.equal([{ member: 'c', status: 'alive', was: 'unknown' }, { member: 'b', status: 'dead', was: 'alive' }])
  })

  it('contain the latest status of a host that changed while lines were being combined', async () => {
    await receiveUpdates([update('a'), update('b')])
    await receiveUpdates([update('a'), update('b', 'dead')])
    await clock.advance(2000)
    expect(log.lines).to.deep.equal([{ what: 'hosts known', details: { hosts: 2, alive: 1, leaving: 0, suspect: 0, dead: 1, known: 3 } }])
  })
})
