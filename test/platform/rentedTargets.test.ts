/** Host processes that order targets from the platform, and move items off targets that it reclaims. */

import { expect } from 'chai'
import { waitUntil } from '../support/hostProcess.ts'
import { DutyStandIn } from './support/dutyStandIn.ts'
import { configuration, Fleet } from './support/fleet.ts'
import type { TargetOptions } from './support/targetStandIn.ts'

/** Time after its start in which a host orders nothing. */
const REGISTRATION_PERIOD_MS = 5000
const BOOT_MS = 500
const LEAVES_MS = 2500
const engine = { models: ['m'], eventMs: 10, loadMs: 150 }
const targets: TargetOptions[] = [
  { id: 'e-0', service: 'engines', place: 'place-0', spot: false, engine },
  { id: 'e-1', service: 'engines', place: 'place-1', spot: true, engine },
  { id: 'w-0', service: 'app', place: 'place-0' }
]

/** The configuration of the stand-ins, with bounds for the engines. */
function scaledConfiguration (version: number, scaling: object): object {
  const { services, ...rest } = configuration(version) as { services: object[] }
  return { ...rest, services: services.map((service) => 'engine' in service ? { ...service, scaling } : service) }
}

const scaling = { min: 0, max: 3, boot_s: BOOT_MS / 1000, spot_price: 0.3, zone_prices: { 'place-0': 1, 'place-1': 1, 'place-2': 1 } }

describe('rented targets', function () {
  this.timeout(60_000)
  let fleet: Fleet
  let duties: DutyStandIn
  let started = 0

  async function start (accepted: readonly string[]): Promise<void> {
    duties = await DutyStandIn.start()
    duties.onScale = ({ service, place, spot, count }) => {
      const present = fleet.targets.filter(({ options, draining }) => options.service === service && options.place === place && options.spot === spot && !draining).length
      for (let index = present; index < count; index++) setTimeout(() => { fleet.addTarget({ id: `e-new-${started++}`, service, place, spot, engine }).catch(() => undefined) }, BOOT_MS)
      return 200
    }
    fleet = await Fleet.start(3, targets, { fleet: { address: duties.address, duties: [...accepted] } })
  }

  afterEach(async () => {
    await fleet.stop()
    await duties.close()
  })

  const pause = async (milliseconds: number): Promise<void> => { await new Promise((resolve) => setTimeout(resolve, milliseconds)) }

  it('are replaced when they are reclaimed, and their items resume elsewhere before they end', async () => {
    // Guards against items that are broken off by an end that was announced, and against orders without need.
    await start(['usage', 'autoscale'])
    fleet.store.put('keyed.op', 'config', scaledConfiguration(2, scaling))
    await pause(REGISTRATION_PERIOD_MS + 6000)
    expect(duties.scaleOrders).to.deep.equal([])
    // Short items of other ids, from which the holder learns how long an event takes.
    expect((await fleet.submit(fleet.host(0), 'step-0', [[], [20, 20, 20, 20]], { group_count: 1 })).status).to.equal(202)
    await fleet.waitUntilComplete(fleet.host(0), 'step-0')
    expect((await fleet.submit(fleet.host(0), 'step-1', [[600, 600, 600, 600]])).status).to.equal(202)
    const leaving = fleet.target('e-1')
    await waitUntil(() => leaving.runs.filter(({ path }) => path.startsWith('/steps/')).length > 0, 5000, 'an item runs at the engine that will leave')
    leaving.drain(LEAVES_MS)
    const drainedAt = Date.now()
    await waitUntil(() => duties.scaleOrders.length > 0, 3000, 'a replacement is ordered')
    expect(Date.now() - drainedAt).to.be.lessThan(2500)
    await waitUntil(() => leaving.runs.every(({ ended }) => ended !== 'open'), LEAVES_MS, 'its items have left')
    expect(Date.now() - drainedAt).to.be.lessThan(LEAVES_MS - 200)
    await leaving.kill()
    leaving.deregister()
    const { results } = await fleet.waitUntilComplete(fleet.host(0), 'step-1', 20_000)
    expect(results.map(({ state, text }) => `${state} ${text.split('\n').length}`)).to.deep.equal(Array(4).fill('complete 600'))
    expect(duties.violations).to.deep.equal([])
    const sent = duties.scaleOrders.length
    await pause(3000)
    expect(duties.scaleOrders).to.have.length(sent)
  })

  it('are ordered by one holder after the other', async () => {
    // Guards against a fencing number that goes down, and against orders by a host that is no longer the holder.
    await start(['autoscale'])
    fleet.store.put('keyed.op', 'config', scaledConfiguration(2, { ...scaling, min: 1 }))
    await waitUntil(() => duties.scaleOrders.length > 0, 10_000, 'the least number is ordered')
    const first = fleet.dutyHolder()
    first.process.freeze()
    await waitUntil(() => fleet.dutyHolder() !== first, 15_000, 'another host holds the duty')
    first.process.resume()
    fleet.store.put('keyed.op', 'config', scaledConfiguration(3, { ...scaling, min: 2 }))
    await waitUntil(() => duties.scaleOrders.some(({ holder }) => holder !== first.name), 15_000, 'the next holder orders')
    expect(duties.violations).to.deep.equal([])
  })

  it('are not ordered where the platform does not accept it or the configuration has no bounds', async () => {
    await start(['usage'])
    fleet.store.put('keyed.op', 'config', scaledConfiguration(2, { ...scaling, min: 2 }))
    await pause(REGISTRATION_PERIOD_MS + 6000)
    expect(duties.scaleOrders).to.deep.equal([])
  })
})
