/** The whole path over a stand-in of the prepared platform, with hosts as separate processes. */

import { connect } from 'node:net'
import { expect } from 'chai'
import { waitUntil } from '../support/hostProcess.ts'
import type { FleetHost } from './support/fleet.ts'
import { configuration, Fleet } from './support/fleet.ts'
import { eventNumbers } from './support/rawStreams.ts'
import type { TargetOptions } from './support/targetStandIn.ts'

const engine = (id: string, place: string, eventMs = 10): TargetOptions => ({ id, service: 'engines', place, engine: { models: ['m'], eventMs, loadMs: 150 } })
const worker = (id: string, place: string): TargetOptions => ({ id, service: 'app', place })
const targets = [engine('e-0', 'place-0'), engine('e-1', 'place-1'), worker('w-0', 'place-0'), worker('w-1', 'place-1')]

describe('hosts on the prepared platform', function () {
  this.timeout(60_000)
  let fleet: Fleet

  beforeEach(async () => { fleet = await Fleet.start(3, targets, { steps: { status: 1000 } }) })
  afterEach(async () => { await fleet.stop() })

  const runsOf = (id: string): number => fleet.targets.reduce((sum, { runs }) => sum + runs.filter((run) => run.id === id).length, 0)
  const others = (host: FleetHost): FleetHost[] => fleet.hosts.filter((other) => other !== host)

  it('tell callers of each other, pass requests on unchanged and answer with what the target said', async () => {
    await waitUntil(async () => (await fleet.resolve(fleet.host(0))).length === 3, 10_000, 'all hosts are named')
    const answer = await fleet.call(fleet.host(1), '/look-up/x?y=1', { id: 'call-1', body: 'question', headers: { 'x-own': 'kept' } })
    expect(answer.status).to.equal(200)
    expect(answer.headers['bulrushvalve-response-seal']).to.equal('seal-of-call-1')
    const run = fleet.targets.flatMap(({ runs }) => runs).find(({ id }) => id === 'call-1')
    expect(run).to.include({ path: '/look-up/x?y=1', method: 'POST', body: 'question' })
    expect(run?.headers).to.include({ 'x-own': 'kept', host: 'calls.example' })
    expect(Number(run?.headers['bulrushvalve-deadline-ms'])).to.be.within(1, 2000)
    expect(answer.text).to.match(/answers call-1$/)
  })

  it('run a step, score it, and give the same results at the same positions on all hosts', async () => {
    expect((await fleet.submit(fleet.host(0), 'step-1', [[3, 5], [8, 2], [4, 4]])).status).to.equal(202)
    expect((await fleet.submit(fleet.host(1), 'step-1', [[3, 5], [8, 2], [4, 4]])).status).to.equal(202)
    const page = await fleet.whenWhole(fleet.host(2), 'step-1')
    expect(page.results.map(({ state }) => state)).to.deep.equal(Array(6).fill('complete'))
    const one = page.results.find(({ id }) => id === 'item-1-1')
    expect(one).to.deep.include({ text: 'item-1-1-0\nitem-1-1-1', versions: [1], score: 'seal-of-score-1-1' })
    // A host that is behind gives the beginning of the same list, and a position that was read elsewhere at once.
    for (const host of fleet.hosts) {
      const { results } = await fleet.results(host, 'step-1')
      expect(results).to.deep.equal(page.results.slice(0, results.length))
    }
    for (const host of fleet.hosts) expect((await fleet.whenWhole(host, 'step-1', 1000)).results).to.deep.equal(page.results)
    expect((await fleet.results(fleet.host(0), 'step-1', 4)).results).to.deep.equal(page.results.slice(4))
    for (const { id } of page.results) expect(runsOf(id)).to.equal(1)
  })

  it('give the body of an item until it is listed, and end a step at any host', async () => {
    await fleet.submit(fleet.host(0), 'step-1', [[400, 400]])
    const body = await fleet.call(fleet.host(1), '/items/step-1?id=item-0-1', { method: 'GET' })
    expect([body.status, body.text]).to.deep.equal([200, 'prompt 0-1'])
    await waitUntil(() => runsOf('item-0-0') === 1, 5000, 'the item runs')
    expect((await fleet.call(fleet.host(2), '/lots/step-1', { method: 'DELETE' })).status).to.equal(200)
    expect((await fleet.call(fleet.host(1), '/lots/step-1', { method: 'DELETE' })).status).to.equal(200)
    // Symptom: a host that had answered the end of a step still gave a body. It answered when the store
    // had the record, before it had read the record itself.
    expect((await fleet.call(fleet.host(1), '/items/step-1?id=item-0-0', { method: 'GET' })).status).to.equal(404)
    await waitUntil(() => fleet.targets.flatMap(({ runs }) => runs).every(({ ended }) => ended !== 'open'), 3000, 'no engine works on it')
    expect((await fleet.call(fleet.host(1), '/items/step-1?id=item-0-1', { method: 'GET' })).status).to.equal(404)
    expect((await fleet.call(fleet.host(1), '/lots/unheard-of', { method: 'GET' })).status).to.equal(404)
  })

  it('move engines to a named version, by one holder, and say in results which versions made a text', async () => {
    fleet.store.put('keyed.op', 'version/m', { model: 'm', version: 2 })
    await waitUntil(() => ['e-0', 'e-1'].every((id) => fleet.target(id).versions.get('m') === 2), 10_000, 'both engines have version 2')
    await fleet.submit(fleet.host(0), 'step-1', [[3, 3]], { min_version: 2 })
    expect((await fleet.whenWhole(fleet.host(0), 'step-1')).results.map(({ versions }) => versions)).to.deep.equal([[2], [2]])
    for (const id of ['e-0', 'e-1']) expect(fleet.target(id).orders).to.have.length(1)
    expect(new Set(fleet.targets.flatMap(({ orders }) => orders).map(({ holder }) => holder)).size).to.equal(1)
  })

  it('go on with a step when the host that runs it is killed, from the events that were saved', async () => {
    // Symptom: a step came late though all engines were well. The host that ran it was killed near the
    // end of its longest item, and the next one began that item anew.
    await fleet.submit(fleet.host(0), 'step-1', [[300, 250]])
    await waitUntil(() => runsOf('item-0-0') === 1, 5000, 'the item runs')
    await new Promise((resolve) => setTimeout(resolve, 1500))
    const holder = fleet.holder()
    await holder.process.kill()
    const [other] = others(holder)
    const page = await fleet.whenWhole(other as FleetHost, 'step-1')
    expect(page.results.find(({ id }) => id === 'item-0-0')?.text.split('\n')).to.have.length(300)
    const resumed = fleet.targets.flatMap(({ runs }) => runs).filter(({ id, headers }) => id === 'item-0-0' && headers['last-event-id'] !== undefined)
    expect(resumed).to.have.length(1)
    expect(Number(resumed[0]?.headers['last-event-id'])).to.be.greaterThan(50)
  })

  it('hand the steps over when a host stops, and close nothing on which a request is', async () => {
    await fleet.submit(fleet.host(0), 'step-1', [[200, 150]])
    await waitUntil(() => runsOf('item-0-0') === 1, 5000, 'the item runs')
    await new Promise((resolve) => setTimeout(resolve, 300))
    const holder = fleet.holder()
    holder.process.terminate()
    const [other] = others(holder)
    await waitUntil(async () => !(await fleet.resolve(other as FleetHost)).includes(holder.address.replace('http://', '')), 3000, 'it is not named any more')
    expect((await fleet.call(holder, '/look-up/late', {})).status).to.equal(200)
    await holder.process.ended()
    expect(holder.process.exitCode).to.equal(0)
    const page = await fleet.whenWhole(other as FleetHost, 'step-1')
    expect(page.results.find(({ id }) => id === 'item-0-0')?.text.split('\n')).to.have.length(200)
  })

  it('keep what was accepted when all are killed at once', async () => {
    await fleet.submit(fleet.host(0), 'step-1', [[3], [150]])
    await waitUntil(async () => (await fleet.results(fleet.host(1), 'step-1')).results.length === 1, 5000, 'one item is listed')
    const before = await fleet.results(fleet.host(1), 'step-1')
    await Promise.all(fleet.hosts.map(async ({ process }) => { await process.kill() }))
    fleet.store.compact('keyed.bulrushvalve')
    for (const { process } of fleet.hosts) process.start()
    for (const host of fleet.hosts) await fleet.whenReady(host)
    const page = await fleet.whenWhole(fleet.host(2), 'step-1')
    expect(page.results.slice(0, 1)).to.deep.equal(before.results)
  })

  it('go through another host while the store turns one away', async () => {
    // Symptom: a host answered 503 to submissions and ran on an old configuration for the nine seconds
    // in which the store served all others but not it.
    const turnedAway = fleet.host(0)
    turnedAway.door.fault = 'busy'
    expect((await fleet.submit(turnedAway, 'step-1', [[3, 3]])).status).to.equal(202)
    fleet.store.put('keyed.op', 'config', configuration(5, { 'look-up': { path_prefix: '/renamed/' } }))
    await waitUntil(async () => (await fleet.call(turnedAway, '/renamed/x')).status === 200, 3000, 'the new route is known')
    expect((await fleet.whenWhole(turnedAway, 'step-1')).results).to.have.length(2)
  })

  it('serve requests that come while they start', async () => {
    // Symptom: look-ups were rejected for 100 ms after all hosts had been killed: a host listened before it had
    // read the targets' entries, and took the route for one that no target serves.
    const host = fleet.host(1)
    await host.process.kill()
    host.door.delays.set('keyed.servers', 300)
    host.process.start()
    let answer: Awaited<ReturnType<Fleet['call']>> | undefined
    await waitUntil(async () => {
      answer = await fleet.call(host, '/look-up/x').catch(() => undefined)
      return answer !== undefined
    }, 10_000, 'it listens')
    expect(answer?.status).to.equal(200)
  })

  it('keep to the newest configuration, whatever is written or read again', async () => {
    fleet.store.put('keyed.op', 'config', configuration(9, { 'look-up': { path_prefix: '/new/' } }))
    await waitUntil(async () => (await fleet.call(fleet.host(0), '/new/x')).status === 200, 3000, 'version 9 is in force')
    fleet.store.put('keyed.op', 'config', configuration(8))
    await new Promise((resolve) => setTimeout(resolve, 300))
    expect((await fleet.call(fleet.host(0), '/new/x')).status).to.equal(200)
    expect((await fleet.call(fleet.host(0), '/look-up/x')).status).to.equal(404)
  })

  it('send nothing more to a target that drains', async () => {
    fleet.target('w-0').drain()
    await waitUntil(() => fleet.hosts.every(({ process }) => process.output.includes('target drains')), 3000, 'all know it')
    for (let request = 0; request < 10; request++) expect((await fleet.call(fleet.host(request % 3), '/look-up/x')).status).to.equal(200)
    expect(fleet.target('w-0').runs).to.deep.equal([])
  })

  it('resume a stream at another engine within one answer, and give up a caller that has left', async () => {
    fleet.target('e-0').fault = 'breaks'
    fleet.target('e-0').faults = 1
    const answers = [await fleet.call(fleet.host(0), '/chat/events-6/x', { headers: { 'bulrushvalve-model': 'm' } }), await fleet.call(fleet.host(0), '/chat/events-6/y', { headers: { 'bulrushvalve-model': 'm' } })]
    for (const { status, text } of answers) {
      expect(status).to.equal(200)
      expect(eventNumbers(text)).to.deep.equal([0, 1, 2, 3, 4, 5])
    }
  })

  it('keep little progress in the store, however long they run', async () => {
    // Symptom: old progress was never removed: the call named the offset where the store does not read it.
    await fleet.submit(fleet.host(0), 'step-1', [[2500]], {})
    await waitUntil(() => fleet.store.firstOf('bulrushvalve.progress') > 0, 40_000, 'old progress is removed')
  })

  it('list items as lost once their time is over, also those that run', async () => {
    // Symptom: a trainer read 47 of 48 results for ever, though the host had said `item listed as lost ... its time is over`. Whatever was under
    // way for the item was cancelled first, and the writing of its result took that for the end of the item.
    fleet.store.put('keyed.op', 'config', configuration(2, { steps: { retention_s: 2 } }))
    // The engines have eight slots in all: some of the items run, others wait.
    await fleet.submit(fleet.host(0), 'step-1', [Array.from({ length: 10 }, () => 9000)])
    const { results } = await fleet.whenWhole(fleet.host(1), 'step-1', 6000)
    expect(results.map(({ state }) => state)).to.deep.equal(Array(10).fill('lost'))
    await waitUntil(() => fleet.targets.flatMap(({ runs }) => runs).every(({ ended }) => ended !== 'open'), 3000, 'no engine works on them')
  })

  it('forget a step when its time is over, in the store too', async () => {
    await fleet.submit(fleet.host(0), 'step-1', [[2]])
    await fleet.whenWhole(fleet.host(0), 'step-1')
    await waitUntil(() => [...fleet.store.newest('keyed.bulrushvalve').keys()].every((key) => !key.includes('/step-1')), 15_000, 'its records are dropped')
    // A host reads the store in turns; it has forgotten the step within the time in which hosts settle.
    await waitUntil(async () => (await fleet.call(fleet.host(1), '/lots/step-1', { method: 'GET' })).status === 404, 1000, 'the host has forgotten it too')
  })
})

describe('bad input at the callers\' address', function () {
  this.timeout(60_000)
  let fleet: Fleet
  before(async () => { fleet = await Fleet.start(2, targets, { limits: { held_bytes: 150_000 } }) })
  after(async () => { await fleet.stop() })

  const codeOf = (text: string): number => (JSON.parse(text) as { error: { number: number } }).error.number

  it('gets a number for each mistake, and the host goes on', async () => {
    const host = fleet.host(0)
    const answers = [
      await fleet.call(host, '/nowhere/x'),
      await fleet.call(host, '/look-up/x', { host: 'other.example' }),
      await fleet.call(host, '/look-up/x', { body: 'x'.repeat(250_000) }),
      await fleet.call(host, '/look-up/x', { body: 'x'.repeat(180_000) }),
      await fleet.call(host, '/look-up/x', { headers: { 'x-long': 'y'.repeat(20_000) } }),
      await fleet.call(host, '/steps/x', { body: '{' }),
      await fleet.call(host, '/steps/x', { body: '{"items":[]}' }),
      await fleet.call(host, '/steps/x', { method: 'GET' }),
      await fleet.call(host, '/lots/x?after=-1', { method: 'GET' }),
      await fleet.call(host, '/lots/unheard-of', { method: 'DELETE' })
    ]
    expect(answers.map(({ status, text }) => `${status} ${codeOf(text)}`)).toMatchSnapshot()
    expect((await fleet.call(host, '/look-up/x')).status).to.equal(200)
  })

  it('gets an answer though it is not HTTP', async () => {
    const url = new URL(fleet.host(0).address)
    const socket = connect(Number(url.port), url.hostname)
    socket.write('this is not HTTP\r\n\r\n')
    let answer = ''
    for await (const piece of socket) answer += String(piece)
    expect(answer).to.match(/^HTTP\/1.1 400 Bad Request[^]*"number":3001/)
  })

  it('holds nothing: its bytes count only until its answer', async () => {
    for (let request = 0; request < 6; request++) expect((await fleet.call(fleet.host(0), '/look-up/x', { body: 'x'.repeat(100_000) })).status).to.equal(200)
  })
})
