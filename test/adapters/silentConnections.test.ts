/** Tests calls over connections to targets that stop delivering data while new ones work, on real sockets. */

import { expect } from 'chai'
import { pause } from '../../standins/httpStandIn.ts'
import { SilentConnectionHarness, lookUpRoute, scoringRoute, fractionAnsweredWithin, streamingRoute } from '../support/silentConnectionHarness.ts'

for (const { kind, reportsSlowdown } of [{ kind: 'pooled connections', reportsSlowdown: false }, { kind: 'connections that are kept while idle', reportsSlowdown: true }]) {
  describe(`calls over ${kind} that stop delivering data`, function () {
    this.timeout(30_000)
    let scene: SilentConnectionHarness

    beforeEach(async () => {
      scene = await SilentConnectionHarness.start(10, 2, reportsSlowdown)
      await scene.openConnections()
    })
    afterEach(async () => { await scene.close() })

    /*
     * Guards against a drop of throughput to a tenth while reused connections are silent and new ones work.
     * Each host sends few calls, and each call met another silent connection, also at its second target: a
     * connection pool was retired only after invalid responses, never after a time-out.
     */
    it('are answered within their objective over new connections', async () => {
      for (const cutter of scene.forwarders) cutter.silenceOpenConnections()
      scene.maxWaiting = 0
      scene.hedgeCount = 0
      const ends = await scene.callAtConstantRate(lookUpRoute, 25, 2000)
      const figures = `of ${ends.length} calls ${fractionAnsweredWithin(ends, lookUpRoute.objectiveMs).toFixed(2)} within the objective, ${fractionAnsweredWithin(ends, lookUpRoute.timeoutMs).toFixed(2)} answered, at most ${scene.maxWaiting} waiting, ${scene.hedgeCount} sent once more`
      expect(fractionAnsweredWithin(ends, lookUpRoute.timeoutMs), figures).to.equal(1)
      expect(fractionAnsweredWithin(ends, lookUpRoute.objectiveMs * 1.2), figures).to.be.at.least(0.95)
      expect(scene.maxWaiting, figures).to.be.at.most(12)
      // Each host detects each silent pool at most once.
      expect(scene.hedgeCount, figures).to.be.at.most(scene.hosts.length * scene.forwarders.length + ends.length / 20)
      expect(scene.inFlightCount, figures).to.equal(0)
    })

    /*
     * Guards against a stall of scoring: calls to scorers had no second target and waited on a silent connection
     * for the time-out of their route. They occupied all slots that a host allots to them, so no other sample was scored.
     */
    it('do not wait for the time-out of their route if they are background calls', async () => {
      const warmed = await scene.runBackgroundCalls(0, 10, 500)
      expect(fractionAnsweredWithin(warmed, scoringRoute.objectiveMs)).to.equal(1)
      for (const cutter of scene.forwarders) cutter.silenceOpenConnections()
      const ends = await scene.runBackgroundCalls(0, 10, 3000)
      const longest = Math.max(...ends.map(({ tookMs }) => tookMs))
      const figures = `${ends.length} calls, ${fractionAnsweredWithin(ends, scoringRoute.timeoutMs).toFixed(2)} answered, the longest took ${Math.round(longest)} ms`
      expect(fractionAnsweredWithin(ends, scoringRoute.timeoutMs), figures).to.equal(1)
      expect(longest, figures).to.be.below(scoringRoute.objectiveMs * 2)
      expect(ends.length, figures).to.be.at.least(120)
      expect(scene.inFlightCount, figures).to.equal(0)
    })

    /*
     * Guards against a slow recovery after a silence that also affected new connections: calls met connections and
     * slots occupied during the silence until their time-outs expired.
     */
    it('are answered again immediately after a silence that also affected new connections', async () => {
      for (const cutter of scene.forwarders) cutter.silenceAll()
      const during = scene.callAtConstantRate(lookUpRoute, 100, 2000)
      await pause(2000)
      for (const cutter of scene.forwarders) cutter.restore()
      const after = await scene.callAtConstantRate(lookUpRoute, 25, 1500)
      const figures = `of ${after.length} calls after the end ${fractionAnsweredWithin(after, lookUpRoute.objectiveMs).toFixed(2)} within the objective, ${fractionAnsweredWithin(after, lookUpRoute.timeoutMs).toFixed(2)} answered`
      expect(fractionAnsweredWithin(after, lookUpRoute.timeoutMs), figures).to.equal(1)
      expect(fractionAnsweredWithin(after, lookUpRoute.objectiveMs * 1.2), figures).to.be.at.least(0.95)
      await during
      expect(scene.inFlightCount, figures).to.equal(0)
    })

    /*
     * Guards against a stream that fails because it met a silent connection and then resumed at another target, also over
     * a silent connection. Both targets then counted as failed.
     */
    it('are streamed completely by the second target', async () => {
      for (const cutter of scene.forwarders) cutter.silenceOpenConnections()
      const ends = await Promise.all(scene.hosts.map(async (_, host) => await scene.stream(host)))
      const longest = Math.max(...ends.map(({ tookMs }) => tookMs))
      const figures = `${fractionAnsweredWithin(ends, streamingRoute.timeoutMs).toFixed(2)} of ${ends.length} streams whole, the longest took ${Math.round(longest)} ms`
      expect(fractionAnsweredWithin(ends, 2000), figures).to.equal(1)
      expect(scene.hosts.flatMap(({ table }) => table.available('s')).filter(({ suspect }) => suspect), figures).to.have.length(0)
    })

    /* A call that must not run twice uses a dedicated connection, and is not sent again if that connection is silent. */
    it('reach targets once if they must not be repeated', async () => {
      scene.arrivalCounts.clear()
      for (const cutter of scene.forwarders) cutter.silenceOpenConnections()
      const once = { ...lookUpRoute, kind: 'once-only' as const }
      const ends = await scene.callAtConstantRate(once, 25, 500)
      expect(fractionAnsweredWithin(ends, lookUpRoute.objectiveMs)).to.be.at.least(0.95)
      expect([...scene.arrivalCounts.values()].filter((count) => count !== 1)).to.deep.equal([])
      expect(scene.arrivalCounts.size).to.equal(ends.length)
    })

    it('are sent once, over existing connections, if there are no faults', async () => {
      scene.hedgeCount = 0
      scene.arrivalCounts.clear()
      const made = scene.connectionCount
      const ends = await scene.callAtConstantRate(lookUpRoute, 25, 1500)
      expect(fractionAnsweredWithin(ends, lookUpRoute.objectiveMs)).to.be.at.least(0.95)
      expect(scene.hedgeCount).to.be.at.most(ends.length / 20)
      expect(scene.connectionCount - made).to.be.at.most(ends.length / 20)
    })

    /*
     * Guards against many new connections because of a slow target: each late request retired all pooled connections to it
     * and to the second target, although responses kept arriving over them.
     */
    it('open few new connections while a target is slow but still responds', async () => {
      await scene.runBackgroundCalls(0, 10, 500)
      scene.slowness = 6
      const made = scene.connectionCount
      const ends = await scene.runBackgroundCalls(0, 10, 4000)
      const figures = `${scene.connectionCount - made} connections for ${ends.length} calls, ${scene.hedgeCount} sent once more`
      expect(fractionAnsweredWithin(ends, scoringRoute.timeoutMs), figures).to.equal(1)
      expect(scene.connectionCount - made, figures).to.be.at.most(ends.length / 20)
    })
  })
}
