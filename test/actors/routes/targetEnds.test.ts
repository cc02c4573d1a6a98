/** What counts as the end of a target under requests, and which requests were there. */

import { expect } from 'chai'
import type { TargetEnd, TargetEnds } from '../../../src/actors/common/routes/targetEnds.ts'
import type { KnownTarget } from '../../../src/actors/common/routes/targetTable.ts'
import { TargetTable } from '../../../src/actors/common/routes/targetTable.ts'
import { sha256Fingerprints } from '../../../src/adapters/node/sha256Fingerprints.ts'
import { asIncarnation } from '../../../src/base/common/ids.ts'
import type { RequestContent } from '../../../src/ports/common/fingerprints.ts'
import { quietLog } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { RecordedLog } from '../../support/recordedLog.ts'
import { targetDefinition } from '../../support/routes.ts'
import { ScriptedClient } from '../../support/scriptedClient.ts'
import { watchEnds } from '../../support/targetEnds.ts'

const content = (body: string): RequestContent => ({ host: 'h', method: 'POST', path: '/a/', caller: undefined, body })
const print = (body: string): string => sha256Fingerprints.of(content(body))

class Scene {
  readonly clock = new ManualClock()
  readonly table = new TargetTable({ clock: this.clock, stateLog: quietLog })
  readonly client = new ScriptedClient(this.clock, {})
  readonly log = new RecordedLog()
  readonly watch: TargetEnds = watchEnds(this.table, this.client, this.clock, this.log)
  readonly ends: TargetEnd[] = []

  constructor () {
    this.table.set(targetDefinition({ id: 't', incarnation: asIncarnation(1), address: 'a' }))
    this.watch.onEnd((end) => { this.ends.push(end) })
  }

  get target (): KnownTarget {
    const target = this.table.get('t')
    if (target === undefined) throw new Error('no target')
    return target
  }
}

describe('the watch for ends of targets', () => {
  it('takes a broken request for the end of its target if its address refuses connections, with all that was under way there', async () => {
    const { client, clock, ends, log, target, watch } = new Scene()
    const broken = watch.begin(target, content('broken'), 'r1')
    watch.begin(target, content('under way'), 'r2')
    watch.begin(target, content('answered'), 'r3').over()
    client.gone.add('a')
    expect(await broken.broke()).to.equal(true)
    expect(ends).to.deep.equal([{ life: 't@1', under: [print('broken'), print('under way')] }])
    expect(log.of('target ended under requests')).to.deep.include.members([{ target: 't@1', service: 's', address: 'a', requests: 'r1 r2', fingerprints: `${print('broken')} ${print('under way')}`, underWay: 2 }])
    await clock.advance(10_000)
    expect(ends).to.have.length(1)
  })

  it('tells of those that break later, and of none twice', async () => {
    const { client, ends, target, watch } = new Scene()
    const first = watch.begin(target, content('1'), 'r1')
    client.gone.add('a')
    await Promise.all([first.broke(), first.broke()])
    await watch.begin(target, content('2'), 'r2').broke()
    expect(ends.map(({ under }) => under)).to.deep.equal([[print('1')], [print('2')]])
  })

  it('counts targets that end in one moment under both sends of one call once, and others each', async () => {
    // A call that was late and sent a second time was at two targets of a rack that was lost: it counted as one under which two targets had ended
    // and was held back for 3.1 s, until its service had two sound targets again (`request held back ... ends=2` in the millisecond of the loss).
    for (const [sent, apartMs, expected] of [['together', 0, 1], ['together', 40, 1], ['together', 200, 2], ['one after the other', 0, 2]] as const) {
      const { client, clock, ends, table, target, watch } = new Scene()
      table.set(targetDefinition({ id: 'u', incarnation: asIncarnation(1), address: 'b' }))
      const other = table.get('u') ?? target
      const first = watch.begin(target, content('1'), 'r1')
      const together = sent === 'together' ? watch.begin(other, content('1'), 'r1') : undefined
      const neighbour = watch.begin(other, content('2'), 'r2')
      await clock.advance(20)
      for (const address of ['a', 'b']) client.gone.add(address)
      await first.broke()
      const second = together ?? watch.begin(other, content('1'), 'r1')
      await clock.advance(apartMs)
      await Promise.all([second.broke(), neighbour.broke()])
      expect(ends.filter(({ under }) => under.includes(sha256Fingerprints.of(content('1')))), `${sent}, ${apartMs} ms`).to.have.length(expected)
      expect(ends.flatMap(({ under }) => under)).to.include(print('2'))
    }
  })

  it('counts no request that was sent after the target had broken others off', async () => {
    // A machine failed with two targets. Calls that the first had broken off went on to the second, over kept connections that were not yet known to be dead, and
    // were held back 3 ms after the loss as requests under which two targets had ended (eight on one played day).
    const { client, clock, ends, target, watch } = new Scene()
    const atWork = watch.begin(target, content('at work'), 'r1')
    await clock.advance(50)
    client.gone.add('a')
    const broke = atWork.broke()
    clock.freeze(1)
    const late = watch.begin(target, content('late'), 'r2')
    await Promise.all([broke, late.broke()])
    await watch.begin(target, content('later'), 'r3').broke()
    expect(ends.flatMap(({ under }) => under)).to.deep.equal([print('at work')])
  })

  it('counts a request that ends a target some time after a reset', async () => {
    const { client, clock, ends, target, watch } = new Scene()
    await watch.begin(target, content('reset'), 'r1').broke()
    await clock.advance(1000)
    const fatal = watch.begin(target, content('fatal'), 'r2')
    await clock.advance(50)
    client.gone.add('a')
    await fatal.broke()
    expect(ends.flatMap(({ under }) => under)).to.include(print('fatal'))
  })

  it('takes a reset connection of a target that lives for no end', async () => {
    const { clock, ends, target, watch } = new Scene()
    expect(await watch.begin(target, content('1'), 'r1').broke()).to.equal(false)
    await clock.advance(10_000)
    expect(ends).to.deep.equal([])
  })

  it('takes it for one once a later life is known, or once its entry goes soon after', async () => {
    for (const later of ['restart', 'entry gone'] as const) {
      const { clock, ends, table, target, watch } = new Scene()
      expect(await watch.begin(target, content('1'), 'r1').broke()).to.equal(false)
      watch.begin(target, content('still at work'), 'r2')
      await clock.advance(4000)
      if (later === 'restart') table.set(targetDefinition({ id: 't', incarnation: asIncarnation(2), address: 'a' }))
      else table.remove('t', Number.NEGATIVE_INFINITY)
      // A target whose entry is gone may be at work: it may have lost its way to the store alone.
      expect(ends.flatMap(({ under }) => under), later).to.deep.equal(later === 'restart' ? [print('1'), print('still at work')] : [print('1')])
    }
  })

  it('takes the end of a target that drains, or that ends long after, for none', async () => {
    for (const why of ['drains', 'much later'] as const) {
      const { client, clock, ends, table, target, watch } = new Scene()
      if (why === 'drains') {
        table.set(targetDefinition({ id: 't', incarnation: asIncarnation(1), address: 'a', draining: true }))
        client.gone.add('a')
      }
      expect(await watch.begin(target, content('1'), 'r1').broke()).to.equal(false)
      if (why === 'much later') await clock.advance(10_000)
      table.remove('t', Number.NEGATIVE_INFINITY)
      expect(ends, why).to.deep.equal([])
    }
  })
})
