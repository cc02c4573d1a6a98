/** Which events count as the crash of a target that runs requests, and which requests are attributed to it. */

import { expect } from 'chai'
import type { TargetCrash, TargetCrashDetector } from '../../../src/actors/common/routes/targetCrashDetector.ts'
import type { KnownTarget } from '../../../src/actors/common/routes/targetTable.ts'
import { TargetTable } from '../../../src/actors/common/routes/targetTable.ts'
import { sha256Fingerprints } from '../../../src/adapters/node/sha256Fingerprints.ts'
import { asIncarnation } from '../../../src/base/common/ids.ts'
import type { RequestContent } from '../../../src/ports/common/fingerprints.ts'
import { noopStateLog } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { RecordedLog } from '../../support/recordedLog.ts'
import { newTargetDefinition } from '../../support/routes.ts'
import { ScriptedClient } from '../../support/scriptedClient.ts'
import { newTargetEnds } from '../../support/targetEnds.ts'

const content = (body: string): RequestContent => ({ host: 'h', method: 'POST', path: '/a/', caller: undefined, body })
const fingerprint = (body: string): string => sha256Fingerprints.of(content(body))

class Fixture {
  readonly clock = new ManualClock()
  readonly table = new TargetTable({ clock: this.clock, stateLog: noopStateLog })
  readonly client = new ScriptedClient(this.clock, {})
  readonly log = new RecordedLog()
  readonly watch: TargetCrashDetector = newTargetEnds(this.table, this.client, this.clock, this.log)
  readonly ends: TargetCrash[] = []

  constructor () {
    this.table.set(newTargetDefinition({ id: 't', incarnation: asIncarnation(1), address: 'a' }))
    this.watch.onCrash((end) => { this.ends.push(end) })
  }

  get target (): KnownTarget {
    const target = this.table.get('t')
    if (target === undefined) throw new Error('no target')
    return target
  }
}

describe('TargetCrashDetector', () => {
  it('detects a crash from a broken request if the address refuses connections, and attributes all running requests to it', async () => {
    const { client, clock, ends, log, target, watch } = new Fixture()
    const broken = watch.track(target, content('broken'), 'r1')
    watch.track(target, content('under way'), 'r2')
    watch.track(target, content('answered'), 'r3').finish()
    client.closedAddresses.add('a')
    expect(await broken.connectionBroke()).to.equal(true)
    expect(ends).to.deep.equal([{ instance: 't@1', under: [fingerprint('broken'), fingerprint('under way')] }])
    expect(log.detailsOf('target ended under requests')).to.deep.include.members([{ target: 't@1', service: 's', address: 'a', requests: 'r1 r2', fingerprints: `${fingerprint('broken')} ${fingerprint('under way')}`, underWay: 2 }])
    await clock.advance(10_000)
    expect(ends).to.have.length(1)
  })

  it('reports requests that break later, and none twice', async () => {
    const { client, ends, target, watch } = new Fixture()
    const first = watch.track(target, content('1'), 'r1')
    client.closedAddresses.add('a')
    await Promise.all([first.connectionBroke(), first.connectionBroke()])
    await watch.track(target, content('2'), 'r2').connectionBroke()
    expect(ends.map(({ under }) => under)).to.deep.equal([[fingerprint('1')], [fingerprint('2')]])
  })

  it('counts simultaneous crashes with both sends of one call once, and other crashes separately', async () => {
    // Guards against holding back a hedged call that was at two targets of a failed rack: it counted as a request that had crashed two targets
    // and was held for 3.1 s, until its service had two live targets again (`request held back ... ends=2` in the millisecond of the failure).
    for (const [sent, apartMs, expected] of [['together', 0, 1], ['together', 40, 1], ['together', 200, 2], ['one after the other', 0, 2]] as const) {
      const { client, clock, ends, table, target, watch } = new Fixture()
      table.set(newTargetDefinition({ id: 'u', incarnation: asIncarnation(1), address: 'b' }))
      const other = table.get('u') ?? target
      const first = watch.track(target, content('1'), 'r1')
      const together = sent === 'together' ? watch.track(other, content('1'), 'r1') : undefined
      const neighbour = watch.track(other, content('2'), 'r2')
      await clock.advance(20)
      for (const address of ['a', 'b']) client.closedAddresses.add(address)
      await first.connectionBroke()
      const second = together ?? watch.track(other, content('1'), 'r1')
      await clock.advance(apartMs)
      await Promise.all([second.connectionBroke(), neighbour.connectionBroke()])
      expect(ends.filter(({ under }) => under.includes(sha256Fingerprints.of(content('1')))), `${sent}, ${apartMs} ms`).to.have.length(expected)
      expect(ends.flatMap(({ under }) => under)).to.include(fingerprint('2'))
    }
  })

  it('does not count a request that was sent after the target had broken other requests', async () => {
    // Guards against holding back calls after a machine with two targets fails: calls broken at the first target went on to the second over reused connections
    // that were not yet known to be dead, and were held 3 ms after the failure as requests that had crashed two targets (eight within one simulated day).
    const { client, clock, ends, target, watch } = new Fixture()
    const atWork = watch.track(target, content('at work'), 'r1')
    await clock.advance(50)
    client.closedAddresses.add('a')
    const broke = atWork.connectionBroke()
    clock.freeze(1)
    const late = watch.track(target, content('late'), 'r2')
    await Promise.all([broke, late.connectionBroke()])
    await watch.track(target, content('later'), 'r3').connectionBroke()
    expect(ends.flatMap(({ under }) => under)).to.deep.equal([fingerprint('at work')])
  })

  it('counts a request that crashes a target some time after a connection reset', async () => {
    const { client, clock, ends, target, watch } = new Fixture()
    await watch.track(target, content('reset'), 'r1').connectionBroke()
    await clock.advance(1000)
    const fatal = watch.track(target, content('fatal'), 'r2')
    await clock.advance(50)
    client.closedAddresses.add('a')
    await fatal.connectionBroke()
    expect(ends.flatMap(({ under }) => under)).to.include(fingerprint('fatal'))
  })

  it('does not take a reset connection to a running target for a crash', async () => {
    const { clock, ends, target, watch } = new Fixture()
    expect(await watch.track(target, content('1'), 'r1').connectionBroke()).to.equal(false)
    await clock.advance(10_000)
    expect(ends).to.deep.equal([])
  })

  it('takes it for a crash once a later incarnation is known, or once the entry is removed soon after', async () => {
    for (const later of ['restart', 'entry gone'] as const) {
      const { clock, ends, table, target, watch } = new Fixture()
      expect(await watch.track(target, content('1'), 'r1').connectionBroke()).to.equal(false)
      watch.track(target, content('still at work'), 'r2')
      await clock.advance(4000)
      if (later === 'restart') table.set(newTargetDefinition({ id: 't', incarnation: asIncarnation(2), address: 'a' }))
      else table.remove('t', Number.NEGATIVE_INFINITY)
      // A target whose entry is gone may still be running: it may have lost only its connection to the store.
      expect(ends.flatMap(({ under }) => under), later).to.deep.equal(later === 'restart' ? [fingerprint('1'), fingerprint('still at work')] : [fingerprint('1')])
    }
  })

  it('does not count the end of a draining target, or one long after the break, as a crash', async () => {
    for (const why of ['drains', 'much later'] as const) {
      const { client, clock, ends, table, target, watch } = new Fixture()
      if (why === 'drains') {
        table.set(newTargetDefinition({ id: 't', incarnation: asIncarnation(1), address: 'a', draining: true }))
        client.closedAddresses.add('a')
      }
      expect(await watch.track(target, content('1'), 'r1').connectionBroke()).to.equal(false)
      if (why === 'much later') await clock.advance(10_000)
      table.remove('t', Number.NEGATIVE_INFINITY)
      expect(ends, why).to.deep.equal([])
    }
  })
})
