/** Entries of other writers that look like targets but name no usable address, beside sound targets. */

import { expect } from 'chai'
import { pause } from '../../standins/httpStandIn.ts'
import { waitUntil } from '../support/hostProcess.ts'
import { Fleet } from './support/fleet.ts'

const engine = (index: number) => ({ id: `e-${index}`, service: 'engines', place: `place-${index}`, engine: { models: ['m'], eventMs: 20, loadMs: 100 } })
const worker = (index: number) => ({ id: `w-${index}`, service: 'app', place: `place-${index}` })
const foreignEntry = (service: string, address: string): object => ({ service, addr: address, zone: 'place-0', version: 'v1', slots: 8, state: 'ready', cold_left_ms: 0, seq: 1, ...(service === 'engines' ? { stage: 'both', models: [{ name: 'm', version: 1, adapters: [] }] } : {}) })

describe('entries without a usable address', function () {
  this.timeout(60_000)
  let fleet: Fleet
  afterEach(async () => { await fleet.stop() })

  it('get neither items nor calls, and sound targets serve all of them', async () => {
    // Guards against items that stay at such an entry for good, and against an engine whose slots they occupy.
    fleet = await Fleet.start(2, [engine(0), engine(1), worker(0), worker(1)])
    for (const service of ['engines', 'app']) {
      for (const [index, address] of ['127.0.0.1:81640', '127.0.0.1:0', '127.0.0.999:80', 'nowhere:80'].entries()) fleet.store.put('keyed.servers', `${service}-${index}`, foreignEntry(service, address))
    }
    await waitUntil(async () => (await fleet.call(fleet.host(0), '/look-up/first')).status === 200, 10_000, 'look-ups are answered')
    await fleet.submit(fleet.host(0), 'step-1', Array.from({ length: 5 }, () => [5, 5, 5, 5]))
    const replies = await Promise.all(Array.from({ length: 20 }, async (_, index) => (await fleet.call(fleet.host(index % 2), `/look-up/${index}`)).status))
    expect(replies).to.deep.equal(Array(20).fill(200))
    const { results } = await fleet.waitUntilComplete(fleet.host(1), 'step-1', 8000)
    expect(results.filter(({ state }) => state === 'complete')).to.have.length(20)
  })
})

describe('entries of another writer that state the start of a target', function () {
  this.timeout(60_000)
  let fleet: Fleet
  afterEach(async () => { await fleet.stop() })

  it('leave targets that state none in use', async () => {
    // Guards against hosts that use none of their targets any more because of one entry of another writer.
    fleet = await Fleet.start(2, [engine(0), engine(1), worker(0), worker(1)])
    const answers = async (): Promise<number[]> => await Promise.all(Array.from({ length: 20 }, async (_, index) => (await fleet.call(fleet.host(index % 2), `/look-up/${index}`)).status))
    await waitUntil(async () => (await answers()).every((status) => status === 200), 10_000, 'look-ups are answered')
    for (const service of ['unknown', 'app', 'engines']) fleet.store.put('keyed.servers', `odd-${service}`, { ...foreignEntry(service, '127.0.0.1:9'), born: 1_700_000_000_000 })
    await pause(3000)
    expect(await answers()).to.deep.equal(Array(20).fill(200))
    await fleet.submit(fleet.host(0), 'step-1', Array.from({ length: 5 }, () => [5, 5, 5, 5]))
    const { results } = await fleet.waitUntilComplete(fleet.host(1), 'step-1', 8000)
    expect(results.filter(({ state }) => state === 'complete')).to.have.length(20)
  })
})
