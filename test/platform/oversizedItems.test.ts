/** Submissions with items that are larger than the memory of the engines, as configured and as the engines report it. */

import { expect } from 'chai'
import { waitUntil } from '../support/hostProcess.ts'
import type { Reply } from './support/fleet.ts'
import { ENGINE_MEMORY_TOKENS, Fleet } from './support/fleet.ts'

const engine = (index: number) => ({ id: `e-${index}`, service: 'engines', place: `place-${index}`, engine: { models: ['m'], eventMs: 20, loadMs: 100 } })

describe('a submission with an oversized item', function () {
  this.timeout(60_000)
  let fleet: Fleet
  afterEach(async () => { await fleet.stop() })

  it('is rejected with the name of the item, and nothing of it runs', async () => {
    // Guards against a step that waits until its time is over for an item that no engine can ever run.
    fleet = await Fleet.start(2, [engine(0), engine(1), { id: 'w-0', service: 'app', place: 'place-0' }])
    const { items } = JSON.parse(fleet.stepBody([[3], [3]])) as { items: { tokens: number }[] }
    const oversized = items.map((item, index) => index === 1 ? { ...item, tokens: ENGINE_MEMORY_TOKENS + 1 } : item)
    await waitUntil(async () => (await fleet.submit(fleet.host(0), 'sound', [[3], [3]])).status === 202, 10_000, 'steps are accepted')
    const rejected = await fleet.submit(fleet.host(1), 'oversized', [], { group_count: 2, items: oversized })
    expect([rejected.status, (JSON.parse(rejected.text) as { error: { code: string, message: string } }).error]).to.deep.equal([413, { number: 3010, code: 'exceedsMemory', effect: 'rejected', message: `item item-1-0 needs ${ENGINE_MEMORY_TOKENS + 1} tokens, and an engine of route steps holds ${ENGINE_MEMORY_TOKENS}` }])
    const { results } = await fleet.waitUntilComplete(fleet.host(1), 'sound', 8000)
    expect(results.map(({ state }) => state)).to.deep.equal(['complete', 'complete'])
    expect((await fleet.call(fleet.host(0), '/lots/oversized?after=0', { method: 'GET' })).status).to.equal(404)
    expect(fleet.targets.flatMap(({ runs }) => runs.map(({ path }) => path)).filter((path) => path.startsWith('/steps/'))).to.have.length(2)
  })
})

describe('an oversized request of a caller', function () {
  this.timeout(60_000)
  let fleet: Fleet
  afterEach(async () => { await fleet.stop() })

  it('is rejected at once, and runs nowhere', async () => {
    // Guards against a caller that tries again and again what no engine can ever run.
    fleet = await Fleet.start(2, [engine(0), { id: 'w-0', service: 'app', place: 'place-0' }])
    const call = async (path: string, usage: string): Promise<Reply> => await fleet.call(fleet.host(1), path, { headers: { 'bulrushvalve-token-usage': usage } })
    await waitUntil(async () => (await call('/chat/events-3/first', `10,${ENGINE_MEMORY_TOKENS - 10}`)).status === 200, 10_000, 'streams are served')
    const before = fleet.target('e-0').runs.length
    const rejected = await call('/chat/events-3/oversized', `11,${ENGINE_MEMORY_TOKENS - 10}`)
    expect([rejected.status, (JSON.parse(rejected.text) as { error: { code: string } }).error.code, fleet.target('e-0').runs.length - before]).to.deep.equal([413, 'exceedsMemory', 0])
    for (const usage of ['', 'x,y', '5', `${ENGINE_MEMORY_TOKENS + 1}`]) expect((await call('/chat/events-3/unstated', usage)).status, usage).to.equal(200)
    expect((await call('/look-up/a', `${ENGINE_MEMORY_TOKENS},1`)).status).to.equal(200)
  })
})
