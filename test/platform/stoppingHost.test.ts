/** A host that is stopped while callers still use its address: each request that it has read gets a complete answer. */

import { expect } from 'chai'
import { pause } from '../../standins/httpStandIn.ts'
import type { Reply } from './support/fleet.ts'
import { Fleet } from './support/fleet.ts'

const STOP_SERVING_MS = 1500
/** Time that the targets take for an answer. */
const ANSWER_MS = 600

interface Outcome {
  readonly id: string
  readonly reply: Reply | 'broken'
  readonly tookMs: number
}

describe('a host that stops', function () {
  this.timeout(60_000)
  let fleet: Fleet
  afterEach(async () => { await fleet.stop() })

  async function start (limits: Record<string, number>): Promise<void> {
    fleet = await Fleet.start(2, [0, 1].map((index) => ({ id: `w-${index}`, service: 'app', place: `place-${index}`, responseDelayMs: ANSWER_MS })), { limits: { stop_serving: STOP_SERVING_MS, ...limits } })
    for (const { address } of fleet.hosts) expect((await fleet.call({ ...fleet.host(0), address }, '/look-up/first')).status).to.equal(200)
  }

  async function callAfter (delayMs: number, path: string): Promise<Outcome> {
    await pause(delayMs)
    const id = fleet.newId()
    const startedAt = Date.now()
    const reply = await fleet.call(fleet.host(0), path, { id }).catch((): 'broken' => 'broken')
    return { id, reply, tookMs: Date.now() - startedAt }
  }

  const statusOf = ({ reply }: Outcome): number | string => reply === 'broken' ? reply : reply.status
  const hasRun = ({ id }: Outcome): boolean => fleet.targets.some(({ runs }) => runs.some((run) => run.id === id))

  it('finishes late requests as far as its grace period allows', async () => {
    // Guards against requests that are cut although the process could still finish them.
    await start({ stop_timeout: 300, grace_seconds: 2.7 })
    const calls = [0, 700, 1100, 1400].map(async (delayMs) => await callAfter(delayMs, '/look-up/late'))
    fleet.host(0).process.terminate()
    expect((await Promise.all(calls)).map(statusOf)).to.deep.equal([200, 200, 200, 200])
  })

  it('rejects at once what it cannot finish, and the request has not run', async () => {
    // Guards against requests that are accepted and then cut when the process ends.
    await start({ stop_timeout: 300 })
    const calls = [900, 1350, 1400].map(async (delayMs) => await callAfter(delayMs, '/look-up/late'))
    fleet.host(0).process.terminate()
    const [early, ...late] = await Promise.all(calls)
    expect(early === undefined ? '' : statusOf(early)).to.equal(200)
    for (const outcome of late) {
      expect([statusOf(outcome), hasRun(outcome)]).to.deep.equal([503, false])
      expect(outcome.tookMs).to.be.below(ANSWER_MS / 2)
      expect(outcome.reply === 'broken' ? '' : `${outcome.reply.headers['retry-after']} ${outcome.reply.text}`).to.match(/^0\.00 .*"code":"leaving"/)
    }
  })

  it('answers what it could not finish before its process ends, also after a second signal', async () => {
    // Guards against a connection that is closed without an answer to a request that may have run.
    await start({ stop_timeout: 300 })
    // No answer of this route has shown how long it takes.
    const call = callAfter(1400, '/entry/late')
    fleet.host(0).process.terminate()
    await pause(300)
    fleet.host(0).process.terminate()
    const outcome = await call
    expect([statusOf(outcome), hasRun(outcome)]).to.deep.equal([502, true])
    expect(outcome.reply === 'broken' ? '' : outcome.reply.text).to.include('"code":"unknownOutcome"')
  })

  it('rejects a stream that may last longer than the host, however short those before were', async () => {
    // Guards against a stream that is accepted late in a stop and cut at its end.
    const engines = [0, 1].map((index) => ({ id: `e-${index}`, service: 'engines', place: `place-${index}`, engine: { models: ['m'], eventMs: 20, loadMs: 50 } }))
    fleet = await Fleet.start(2, engines, { limits: { stop_serving: STOP_SERVING_MS, stop_timeout: 300 } })
    for (let index = 0; index < 4; index++) expect((await fleet.call(fleet.host(0), `/chat/events-3/first-${index}`)).status).to.equal(200)
    const stream = async (delayMs: number, path: string, deadlineMs: number): Promise<Outcome> => {
      await pause(delayMs)
      const id = fleet.newId()
      const startedAt = Date.now()
      const reply = await fleet.call(fleet.host(0), path, { id, headers: { 'bulrushvalve-deadline-ms': String(deadlineMs) } }).catch((): 'broken' => 'broken')
      return { id, reply, tookMs: Date.now() - startedAt }
    }
    const streams = [stream(900, '/chat/events-3/short', 300), stream(1000, '/chat/events-45/late', 2000), stream(1200, '/chat/events-45/later', 5000)]
    fleet.host(0).process.terminate()
    const [short, late, later] = await Promise.all(streams)
    expect(short === undefined ? '' : statusOf(short)).to.equal(200)
    for (const outcome of [late, later]) {
      if (outcome === undefined) throw new Error('no outcome')
      expect([statusOf(outcome), hasRun(outcome)]).to.deep.equal([503, false])
      expect(outcome.reply === 'broken' ? '' : `${outcome.reply.headers['retry-after']} ${outcome.reply.text}`).to.match(/^0\.00 .*"code":"leaving"/)
    }
  })
})
