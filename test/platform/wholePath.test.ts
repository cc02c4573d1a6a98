/** End-to-end tests with hosts as separate processes and stand-ins of the platform. */

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

  it('advertise each other to callers, forward requests unchanged and return the response of the target', async () => {
    await waitUntil(async () => (await fleet.resolve(fleet.host(0))).length === 3, 10_000, 'all hosts are advertised')
    const answer = await fleet.call(fleet.host(1), '/look-up/x?y=1', { id: 'call-1', body: 'question', headers: { 'x-own': 'kept' } })
    expect(answer.status).to.equal(200)
    expect(answer.headers['bulrushvalve-response-seal']).to.equal('seal-of-call-1')
    const run = fleet.targets.flatMap(({ runs }) => runs).find(({ id }) => id === 'call-1')
    expect(run).to.include({ path: '/look-up/x?y=1', method: 'POST', body: 'question' })
    expect(run?.headers).to.include({ 'x-own': 'kept', host: 'calls.example' })
    expect(Number(run?.headers['bulrushvalve-deadline-ms'])).to.be.within(1, 2000)
    expect(answer.text).to.match(/answers call-1$/)
  })

  it('run a step, score it, and return the same results at the same positions on all hosts', async () => {
    expect((await fleet.submit(fleet.host(0), 'step-1', [[3, 5], [8, 2], [4, 4]])).status).to.equal(202)
    expect((await fleet.submit(fleet.host(1), 'step-1', [[3, 5], [8, 2], [4, 4]])).status).to.equal(202)
    const page = await fleet.waitUntilComplete(fleet.host(2), 'step-1')
    expect(page.results.map(({ state }) => state)).to.deep.equal(Array(6).fill('complete'))
    const one = page.results.find(({ id }) => id === 'item-1-1')
    expect(one).to.deep.include({ text: 'item-1-1-0\nitem-1-1-1', versions: [1], score: 'seal-of-score-1-1' })
    // A host that is behind returns the beginning of the same list, and catches up at once with a position that was read at another host.
    for (const host of fleet.hosts) {
      const { results } = await fleet.results(host, 'step-1')
      expect(results).to.deep.equal(page.results.slice(0, results.length))
    }
    for (const host of fleet.hosts) expect((await fleet.waitUntilComplete(host, 'step-1', 1000)).results).to.deep.equal(page.results)
    expect((await fleet.results(fleet.host(0), 'step-1', 4)).results).to.deep.equal(page.results.slice(4))
    for (const { id } of page.results) expect(runsOf(id)).to.equal(1)
  })

  it('return the body of an item until it is listed, and end a step at any host', async () => {
    await fleet.submit(fleet.host(0), 'step-1', [[400, 400]])
    const body = await fleet.call(fleet.host(1), '/items/step-1?id=item-0-1', { method: 'GET' })
    expect([body.status, body.text]).to.deep.equal([200, 'prompt 0-1'])
    await waitUntil(() => runsOf('item-0-0') === 1, 5000, 'the item runs')
    expect((await fleet.call(fleet.host(2), '/lots/step-1', { method: 'DELETE' })).status).to.equal(200)
    expect((await fleet.call(fleet.host(1), '/lots/step-1', { method: 'DELETE' })).status).to.equal(200)
    // Guards against a host that confirms the end of a step and still returns a body. It confirmed when the store
    // had the record, before it had read the record itself.
    expect((await fleet.call(fleet.host(1), '/items/step-1?id=item-0-0', { method: 'GET' })).status).to.equal(404)
    await waitUntil(() => fleet.targets.flatMap(({ runs }) => runs).every(({ ended }) => ended !== 'open'), 3000, 'no engine works on it')
    expect((await fleet.call(fleet.host(1), '/items/step-1?id=item-0-1', { method: 'GET' })).status).to.equal(404)
    expect((await fleet.call(fleet.host(1), '/lots/unheard-of', { method: 'GET' })).status).to.equal(404)
  })

  it('order engines to load a named version, by a single holder, and list the versions that generated a text', async () => {
    fleet.store.put('keyed.op', 'version/m', { model: 'm', version: 2 })
    await waitUntil(() => ['e-0', 'e-1'].every((id) => fleet.target(id).versions.get('m') === 2), 10_000, 'both engines have version 2')
    await fleet.submit(fleet.host(0), 'step-1', [[3, 3]], { min_version: 2 })
    expect((await fleet.waitUntilComplete(fleet.host(0), 'step-1')).results.map(({ versions }) => versions)).to.deep.equal([[2], [2]])
    for (const id of ['e-0', 'e-1']) expect(fleet.target(id).orders).to.have.length(1)
    expect(new Set(fleet.targets.flatMap(({ orders }) => orders).map(({ holder }) => holder)).size).to.equal(1)
  })

  it('go on with a step when the host that runs it is killed, from the events that were saved', async () => {
    // Guards against a late step although all engines work: the host that ran the step was killed near the
    // end of its longest item, and the next holder started that item from the beginning.
    await fleet.submit(fleet.host(0), 'step-1', [[300, 250]])
    await waitUntil(() => runsOf('item-0-0') === 1, 5000, 'the item runs')
    await new Promise((resolve) => setTimeout(resolve, 1500))
    const holder = fleet.dutyHolder()
    await holder.process.kill()
    const [other] = others(holder)
    const page = await fleet.waitUntilComplete(other as FleetHost, 'step-1')
    expect(page.results.find(({ id }) => id === 'item-0-0')?.text.split('\n')).to.have.length(300)
    const resumed = fleet.targets.flatMap(({ runs }) => runs).filter(({ id, headers }) => id === 'item-0-0' && headers['last-event-id'] !== undefined)
    expect(resumed).to.have.length(1)
    expect(Number(resumed[0]?.headers['last-event-id'])).to.be.greaterThan(50)
  })

  it('hand over steps when a host stops, and close no connection with a request in progress', async () => {
    await fleet.submit(fleet.host(0), 'step-1', [[200, 150]])
    await waitUntil(() => runsOf('item-0-0') === 1, 5000, 'the item runs')
    await new Promise((resolve) => setTimeout(resolve, 300))
    const holder = fleet.dutyHolder()
    holder.process.terminate()
    const [other] = others(holder)
    await waitUntil(async () => !(await fleet.resolve(other as FleetHost)).includes(holder.address.replace('http://', '')), 3000, 'it is no longer advertised')
    expect((await fleet.call(holder, '/look-up/late', {})).status).to.equal(200)
    await holder.process.waitForExit()
    expect(holder.process.exitCode).to.equal(0)
    const page = await fleet.waitUntilComplete(other as FleetHost, 'step-1')
    expect(page.results.find(({ id }) => id === 'item-0-0')?.text.split('\n')).to.have.length(200)
  })

  it('keep accepted steps when all hosts are killed at once', async () => {
    await fleet.submit(fleet.host(0), 'step-1', [[3], [150]])
    await waitUntil(async () => (await fleet.results(fleet.host(1), 'step-1')).results.length === 1, 5000, 'one item is listed')
    const before = await fleet.results(fleet.host(1), 'step-1')
    await Promise.all(fleet.hosts.map(async ({ process }) => { await process.kill() }))
    fleet.store.compact('keyed.bulrushvalve')
    for (const { process } of fleet.hosts) process.start()
    for (const host of fleet.hosts) await fleet.waitUntilReady(host)
    const page = await fleet.waitUntilComplete(fleet.host(2), 'step-1')
    expect(page.results.slice(0, 1)).to.deep.equal(before.results)
  })

  it('reach the store through another host while the store refuses one host', async () => {
    // Guards against a host that responds with 503 to submissions and uses an old configuration while the store
    // serves all other hosts but not this one, which lasted nine seconds.
    const rejectedHost = fleet.host(0)
    rejectedHost.storeEndpoint.fault = 'busy'
    expect((await fleet.submit(rejectedHost, 'step-1', [[3, 3]])).status).to.equal(202)
    fleet.store.put('keyed.op', 'config', configuration(5, { 'look-up': { path_prefix: '/renamed/' } }))
    await waitUntil(async () => (await fleet.call(rejectedHost, '/renamed/x')).status === 200, 3000, 'the new route is known')
    expect((await fleet.waitUntilComplete(rejectedHost, 'step-1')).results).to.have.length(2)
  })

  it('serve requests that arrive while they start', async () => {
    // Guards against requests that are rejected during a start, for 100 ms after all hosts had been killed: a host listened
    // before it had read the registrations of targets, and found no target for the route.
    const host = fleet.host(1)
    await host.process.kill()
    host.storeEndpoint.delays.set('keyed.servers', 300)
    host.process.start()
    let answer: Awaited<ReturnType<Fleet['call']>> | undefined
    await waitUntil(async () => {
      answer = await fleet.call(host, '/look-up/x').catch(() => undefined)
      return answer !== undefined
    }, 10_000, 'it listens')
    expect(answer?.status).to.equal(200)
  })

  it('keep the newest configuration if an older one is written later', async () => {
    fleet.store.put('keyed.op', 'config', configuration(9, { 'look-up': { path_prefix: '/new/' } }))
    await waitUntil(async () => (await fleet.call(fleet.host(0), '/new/x')).status === 200, 3000, 'version 9 is in force')
    fleet.store.put('keyed.op', 'config', configuration(8))
    await new Promise((resolve) => setTimeout(resolve, 300))
    expect((await fleet.call(fleet.host(0), '/new/x')).status).to.equal(200)
    expect((await fleet.call(fleet.host(0), '/look-up/x')).status).to.equal(404)
  })

  it('send no further requests to a draining target', async () => {
    fleet.target('w-0').drain()
    await waitUntil(() => fleet.hosts.every(({ process }) => process.output.includes('target drains')), 3000, 'all hosts know it')
    for (let request = 0; request < 10; request++) expect((await fleet.call(fleet.host(request % 3), '/look-up/x')).status).to.equal(200)
    expect(fleet.target('w-0').runs).to.deep.equal([])
  })

  it('resume a stream at another engine within one response', async () => {
    fleet.target('e-0').fault = 'breaks'
    fleet.target('e-0').faults = 1
    const answers = [await fleet.call(fleet.host(0), '/chat/events-6/x', { headers: { 'bulrushvalve-model': 'm' } }), await fleet.call(fleet.host(0), '/chat/events-6/y', { headers: { 'bulrushvalve-model': 'm' } })]
    for (const { status, text } of answers) {
      expect(status).to.equal(200)
      expect(eventNumbers(text)).to.deep.equal([0, 1, 2, 3, 4, 5])
    }
  })

  it('remove old progress from the store while items run', async () => {
    // Guards against old progress that is never removed: the call passed the offset in a place where the store does not read it.
    await fleet.submit(fleet.host(0), 'step-1', [[2500]], {})
    await waitUntil(() => fleet.store.firstOffsetOf('bulrushvalve.progress') > 0, 40_000, 'old progress is removed')
  })

  it('list items as lost once their retention period is over, including running items', async () => {
    // Guards against a step that never completes: a trainer read 47 of 48 results although the host had logged `item listed as lost` for the
    // last one. All work for the item was cancelled first, and the write of its result took the cancellation for the end of the item.
    fleet.store.put('keyed.op', 'config', configuration(2, { steps: { retention_s: 2 } }))
    // The engines have eight slots in total: some items run and the others wait.
    await fleet.submit(fleet.host(0), 'step-1', [Array.from({ length: 10 }, () => 9000)])
    const { results } = await fleet.waitUntilComplete(fleet.host(1), 'step-1', 6000)
    expect(results.map(({ state }) => state)).to.deep.equal(Array(10).fill('lost'))
    await waitUntil(() => fleet.targets.flatMap(({ runs }) => runs).every(({ ended }) => ended !== 'open'), 3000, 'no engine runs them')
  })

  it('delete a step when its retention period is over, also from the store', async () => {
    await fleet.submit(fleet.host(0), 'step-1', [[2]])
    await fleet.waitUntilComplete(fleet.host(0), 'step-1')
    await waitUntil(() => [...fleet.store.newest('keyed.bulrushvalve').keys()].every((key) => !key.includes('/step-1')), 15_000, 'its records are deleted')
    // A host reads the store periodically; it has deleted the step within the time in which hosts converge.
    await waitUntil(async () => (await fleet.call(fleet.host(1), '/lots/step-1', { method: 'GET' })).status === 404, 1000, 'the host has deleted it too')
  })
})

describe('invalid input at the callers\' address', function () {
  this.timeout(60_000)
  let fleet: Fleet
  before(async () => { fleet = await Fleet.start(2, targets, { limits: { held_bytes: 150_000 } }) })
  after(async () => { await fleet.stop() })

  const codeOf = (text: string): number => (JSON.parse(text) as { error: { number: number } }).error.number

  it('gets a result code for each error, and the host continues to serve', async () => {
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

  it('gets a response even if it is not HTTP', async () => {
    const url = new URL(fleet.host(0).address)
    const socket = connect(Number(url.port), url.hostname)
    socket.write('this is not HTTP\r\n\r\n')
    let answer = ''
    for await (const piece of socket) answer += String(piece)
    expect(answer).to.match(/^HTTP\/1.1 400 Bad Request[^]*"number":3001/)
  })

  it('counts against the limit of held bytes only until its response', async () => {
    for (let request = 0; request < 6; request++) expect((await fleet.call(fleet.host(0), '/look-up/x', { body: 'x'.repeat(100_000) })).status).to.equal(200)
  })
})
