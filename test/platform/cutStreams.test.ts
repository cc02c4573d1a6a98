/** Tests streams that end early, as seen by callers with and without chunked transfer coding. */

import { expect } from 'chai'
import { pause } from '../../standins/httpStandIn.ts'
import { waitUntil } from '../support/hostProcess.ts'
import { Fleet, configuration } from './support/fleet.ts'
import { eventNumbers, hasLastChunk, readStream } from './support/rawStreams.ts'

describe('a stream that ends early', function () {
  this.timeout(60_000)
  let fleet: Fleet

  beforeEach(async () => {
    fleet = await Fleet.start(2, [{ id: 'e-0', service: 'engines', place: 'place-0', engine: { models: ['m'], eventMs: 20, loadMs: 10 } }], { limits: { stop_serving: 200, stop_timeout: 300 } })
    fleet.store.put('keyed.op', 'config', configuration(2, { chat: { resumable: false, attempts: 1, timeout_ms: 30_000 } }))
    await waitUntil(() => fleet.hosts.every(({ process }) => /configuration in force.*"version":2/.test(process.output)), 3000, () => `the configuration is in force\n${fleet.host(0).process.output}`)
  })

  afterEach(async () => { await fleet.stop() })

  it('is reset for an HTTP/1.0 caller if its engine resets the connection', async () => {
    // Guards against an interrupted stream that appears complete: without chunks, the end of the connection ends the response.
    fleet.target('e-0').fault = 'breaks'
    const { text, end } = await readStream(fleet, '1.0', 6)
    expect([text.slice(0, 15), eventNumbers(text), end]).to.deep.equal(['HTTP/1.1 200 OK', [0, 1], 'reset'])
  })

  it('lacks its last chunk for an HTTP/1.1 caller', async () => {
    fleet.target('e-0').fault = 'breaks'
    const answer = await readStream(fleet, '1.1', 6)
    expect([eventNumbers(answer.text), hasLastChunk(answer)]).to.deep.equal([[0, 1], false])
  })

  it('ends normally for both if it is complete', async () => {
    const [older, newer] = await Promise.all([readStream(fleet, '1.0', 6), readStream(fleet, '1.1', 6)])
    expect([eventNumbers(older.text), older.end]).to.deep.equal([[0, 1, 2, 3, 4, 5], 'ended'])
    expect([eventNumbers(newer.text), hasLastChunk(newer)]).to.deep.equal([[0, 1, 2, 3, 4, 5], true])
  })

  it('is reset for an HTTP/1.0 caller if the shutdown time-out of its host expires', async () => {
    // Guards against a shutdown that ends open streams as if they were complete.
    const reading = readStream(fleet, '1.0', 2000)
    await waitUntil(() => fleet.target('e-0').runs.some(({ ended }) => ended === 'open'), 3000, 'the stream runs')
    await pause(100)
    fleet.host(0).process.terminate()
    const { text, end } = await reading
    expect([eventNumbers(text).length > 0, end]).to.deep.equal([true, 'reset'])
  })
})
