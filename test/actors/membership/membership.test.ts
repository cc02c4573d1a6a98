/** What a host writes of the other hosts as it learns of them. */

import { expect } from 'chai'
import { start } from 'nact'
import { Membership } from '../../../src/actors/common/membership/membership.ts'
import { asHostId, asPlace } from '../../../src/base/common/ids.ts'
import type { MemberStatus, MemberUpdate } from '../../../src/core/common/membership/memberTable.ts'
import type { PeerHandlers, Peers, ProbeMessage } from '../../../src/ports/common/peers.ts'
import { quietMetrics } from '../../support/fakeHost.ts'
import { ManualClock, seededChance } from '../../support/manualClock.ts'
import { RecordedLog } from '../../support/recordedLog.ts'

const update = (name: string, status: MemberStatus = 'alive', incarnation = 1): MemberUpdate => ({ host: asHostId(name), address: `http://${name}`, place: asPlace('p'), status, incarnation })

/** Nobody answers a probe, nor refuses it, so that all that is learned comes from what is heard. */
const silentPeers: Peers = { call: async () => await new Promise(() => undefined) }

describe('what a host writes of other hosts', () => {
  let clock: ManualClock
  let log: RecordedLog
  let membership: Membership
  let hear: (updates: readonly MemberUpdate[]) => Promise<void>

  beforeEach(() => {
    clock = new ManualClock()
    log = new RecordedLog()
    const answers = new Map<string, (message: ProbeMessage) => Promise<unknown>>()
    const handlers: PeerHandlers = { handle: (method, handler) => { answers.set(method, handler as never) } }
    const hash = { digest: (text: string) => text, number: () => 0 }
    membership = new Membership({ system: start(), peers: silentPeers, handlers, clock, chance: seededChance(1), hash, metrics: quietMetrics, stateLog: log }, {
      seeds: [], probePeriodMs: 10_000, probeTimeoutMs: 100, indirect: 0, suspicionMs: 60_000, forgetMs: 600_000, fullExchangeMs: 1000
    }, update('self'))
    hear = async (updates) => {
      const [from, ...rest] = updates
      if (from === undefined) return
      await answers.get('membership.probe')?.({ from, updates: rest, offset: 0, load: 0, reachesStore: true, pressures: {}, digest: '', full: false })
    }
  })
  afterEach(() => { membership.dispose() })

  it('is one line for all hosts that it hears of within a short time', async () => {
    // After a restart of 84 hosts two thirds of all lines that were kept told of one host each, and
    // the lines about steps were gone. Each host had written a line for each other host.
    await hear([update('a'), update('b'), update('c')])
    await clock.advance(100)
    await hear([update('d'), update('e', 'dead')])
    await clock.advance(2000)
    expect(log.lines).to.deep.equal([{ what: 'hosts known', details: { hosts: 5, alive: 4, leaving: 0, suspect: 0, dead: 1, known: 6 } }])
  })

  it('is a line of its own for a single host, with what was believed before', async () => {
    await hear([update('a'), update('b')])
    await clock.advance(2000)
    await hear([update('c')])
    await clock.advance(2000)
    await hear([update('a'), update('b', 'dead')])
    await clock.advance(2000)
    expect(log.of('host status')).to.deep.equal([{ member: 'c', status: 'alive', was: 'unknown' }, { member: 'b', status: 'dead', was: 'alive' }])
  })

  it('names the newest status of a host that changed while others were heard of', async () => {
    await hear([update('a'), update('b')])
    await hear([update('a'), update('b', 'dead')])
    await clock.advance(2000)
    expect(log.lines).to.deep.equal([{ what: 'hosts known', details: { hosts: 2, alive: 1, leaving: 0, suspect: 0, dead: 1, known: 3 } }])
  })
})
