/** Host processes whose deployment has the contract for call queues, with more calls than their target can serve. */

import { expect } from 'chai'
import { Fleet } from './support/fleet.ts'

const CALLS = 40
/** The route's limit. */
const TIMEOUT_MS = 1500

describe('hosts with call queues', () => {
  let fleet: Fleet
  before(async () => { fleet = await Fleet.start(2, [{ id: 'a', service: 'app', place: 'place-0', slots: 2, responseDelayMs: 100 }], { deployment: { contracts: ['pressure'] } }) })
  after(async () => { await fleet.stop() })

  it('refuse what their target cannot serve, and none of that runs', async () => {
    // Guards against refusals that are not true, or whose hint callers do not honor. The route is not repeatable, so each run is one call.
    const replies = await Promise.all(Array.from({ length: CALLS }, async (_, index) => {
      const id = `burst-${index}`
      return { id, reply: await fleet.call(fleet.host(index % 2), '/entry/x', { id, headers: { 'bulrushvalve-deadline-ms': String(TIMEOUT_MS) } }) }
    }))
    const served = replies.filter(({ reply }) => reply.status === 200)
    const refused = replies.filter(({ reply }) => reply.status !== 200)
    expect(served.length).to.be.above(4)
    expect(refused.length).to.be.above(0)
    for (const { reply } of refused) {
      expect(reply.status).to.equal(503)
      expect(JSON.parse(reply.text)).to.have.nested.include({ 'error.code': 'overloaded', 'error.effect': 'not-run' })
      expect(Number(reply.headers['retry-after'])).to.be.within(0.02, TIMEOUT_MS / 3000)
    }
    expect(fleet.target('a').runs.map(({ id }) => id).sort()).to.deep.equal(served.map(({ id }) => id).sort())
    expect(fleet.host(0).process.output).to.include('queue holds calls')
  })
})
