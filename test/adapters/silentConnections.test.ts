/** Service over connections to targets that go silent while new ones work, on real sockets. */

import { expect } from 'chai'
import { pause } from '../../standins/httpStandIn.ts'
import { SilentScene, lookUp, scoring, shareWithin, streaming } from '../support/silentScene.ts'

describe('calls over connections that go silent', function () {
  this.timeout(30_000)
  let scene: SilentScene

  beforeEach(async () => {
    scene = await SilentScene.start(10, 2)
    await scene.warm()
  })
  afterEach(async () => { await scene.close() })

  /*
   * Service fell to a tenth while kept connections were silent, though new ones worked at once. Each
   * host sends few calls, and each call met the next silent connection, at its second target too: a
   * pool of connections was put aside for bad answers only, never for silence.
   */
  it('are answered within their objective, as new connections work', async () => {
    for (const cutter of scene.cutters) cutter.silenceOpen()
    scene.mostWaiting = 0
    scene.secondSends = 0
    const ends = await scene.steady(lookUp, 25, 2000)
    const figures = `of ${ends.length} calls ${shareWithin(ends, lookUp.objectiveMs).toFixed(2)} within the objective, ${shareWithin(ends, lookUp.timeoutMs).toFixed(2)} answered, at most ${scene.mostWaiting} waiting, ${scene.secondSends} sent once more`
    expect(shareWithin(ends, lookUp.timeoutMs), figures).to.equal(1)
    expect(shareWithin(ends, lookUp.objectiveMs * 1.2), figures).to.be.at.least(0.95)
    expect(scene.mostWaiting, figures).to.be.at.most(12)
    // Each host finds each pool silent once, at most.
    expect(scene.secondSends, figures).to.be.at.most(scene.hosts.length * scene.cutters.length + ends.length / 20)
    expect(scene.slotsHeld, figures).to.equal(0)
  })

  /*
   * Calls to scorers had no second target and waited for the timeout of their route on a silent
   * connection. They held all the slots that a host leaves to them, so no other sample was scored.
   */
  it('of the background are not held for the timeout of their route', async () => {
    const warmed = await scene.background(0, 10, 500)
    expect(shareWithin(warmed, scoring.objectiveMs)).to.equal(1)
    for (const cutter of scene.cutters) cutter.silenceOpen()
    const ends = await scene.background(0, 10, 3000)
    const longest = Math.max(...ends.map(({ tookMs }) => tookMs))
    const figures = `${ends.length} calls, ${shareWithin(ends, scoring.timeoutMs).toFixed(2)} answered, the longest took ${Math.round(longest)} ms`
    expect(shareWithin(ends, scoring.timeoutMs), figures).to.equal(1)
    expect(longest, figures).to.be.below(scoring.objectiveMs * 2)
    expect(ends.length, figures).to.be.at.least(120)
    expect(scene.slotsHeld, figures).to.equal(0)
  })

  /*
   * After a silence that held new connections too, calls met connections and slots that had been
   * taken in it, for as long as these were waited for.
   */
  it('are answered again at once after a silence that held new connections too', async () => {
    for (const cutter of scene.cutters) cutter.silenceAll()
    const during = scene.steady(lookUp, 100, 2000)
    await pause(2000)
    for (const cutter of scene.cutters) cutter.heal()
    const after = await scene.steady(lookUp, 25, 1500)
    const figures = `of ${after.length} calls after the end ${shareWithin(after, lookUp.objectiveMs).toFixed(2)} within the objective, ${shareWithin(after, lookUp.timeoutMs).toFixed(2)} answered`
    expect(shareWithin(after, lookUp.timeoutMs), figures).to.equal(1)
    expect(shareWithin(after, lookUp.objectiveMs * 1.2), figures).to.be.at.least(0.95)
    await during
    expect(scene.slotsHeld, figures).to.equal(0)
  })

  /*
   * A stream that met a silent connection went on at another target over a silent one too, and came to
   * nothing; both targets counted as failed.
   */
  it('are streamed whole by the second target', async () => {
    for (const cutter of scene.cutters) cutter.silenceOpen()
    const ends = await Promise.all(scene.hosts.map(async (_, host) => await scene.stream(host)))
    const longest = Math.max(...ends.map(({ tookMs }) => tookMs))
    const figures = `${shareWithin(ends, streaming.timeoutMs).toFixed(2)} of ${ends.length} streams whole, the longest took ${Math.round(longest)} ms`
    expect(shareWithin(ends, 2000), figures).to.equal(1)
    expect(scene.hosts.flatMap(({ table }) => table.available('s')).filter(({ suspect }) => suspect), figures).to.have.length(0)
  })

  /* What must not run twice goes over a connection of its own, and nowhere else when that is silent. */
  it('reach targets once where they must not be repeated', async () => {
    scene.arrivals.clear()
    for (const cutter of scene.cutters) cutter.silenceOpen()
    const once = { ...lookUp, kind: 'once-only' as const }
    const ends = await scene.steady(once, 25, 500)
    expect(shareWithin(ends, lookUp.objectiveMs)).to.be.at.least(0.95)
    expect([...scene.arrivals.values()].filter((count) => count !== 1)).to.deep.equal([])
    expect(scene.arrivals.size).to.equal(ends.length)
  })

  it('are sent once, over the connections that are there, in calm times', async () => {
    scene.secondSends = 0
    scene.arrivals.clear()
    const made = scene.connectionsMade
    const ends = await scene.steady(lookUp, 25, 1500)
    expect(shareWithin(ends, lookUp.objectiveMs)).to.be.at.least(0.95)
    expect(scene.secondSends).to.be.at.most(ends.length / 20)
    expect(scene.connectionsMade - made).to.be.at.most(ends.length / 20)
  })

  /*
   * A target that was slow cost many new connections: with each late request all kept connections to it
   * and to the second target were given up, though answers kept coming over them.
   */
  it('cost few new connections while a target is slow and answers others', async () => {
    await scene.background(0, 10, 500)
    scene.slowness = 6
    const made = scene.connectionsMade
    const ends = await scene.background(0, 10, 4000)
    const figures = `${scene.connectionsMade - made} connections for ${ends.length} calls, ${scene.secondSends} sent once more`
    expect(shareWithin(ends, scoring.timeoutMs), figures).to.equal(1)
    expect(scene.connectionsMade - made, figures).to.be.at.most(ends.length / 20)
  })
})
