/** Connections to the store that go silent for good: what every host has to hear of afterwards is heard in time. */

import { expect } from 'chai'
import type { Cutter } from '../support/cutter.ts'
import { startCutter } from '../support/cutter.ts'
import { waitUntil } from '../support/hostProcess.ts'
import { configuration, Fleet } from './support/fleet.ts'
import type { TargetOptions } from './support/targetStandIn.ts'

const engine = (id: string, place: string): TargetOptions => ({ id, service: 'engines', place, engine: { models: ['m'], eventMs: 10, loadMs: 150 } })
const worker = (id: string, place: string): TargetOptions => ({ id, service: 'app', place })
/** Time in which a configuration and a drain are in force everywhere on the smaller deployments, in milliseconds. */
const IN_FORCE_MS = 2000

describe('hosts whose connections to the store went silent for good', function () {
  this.timeout(60_000)
  let fleet: Fleet
  let cutters: Cutter[]

  beforeEach(async () => {
    cutters = []
    const wayToStore = async (door: string, host: number): Promise<string> => {
      const cutter = await startCutter(() => door)
      cutters[host] = cutter
      return cutter.address
    }
    fleet = await Fleet.start(3, [engine('e-0', 'place-0'), worker('w-0', 'place-0'), worker('w-1', 'place-1')], {}, { wayToStore })
  })
  afterEach(async () => {
    await fleet.stop()
    await Promise.all(cutters.map(async (cutter) => { await cutter.close() }))
  })

  for (const [share, silenced] of [['some', [0, 1]], ['all', [0, 1, 2]]] as const) {
    it(`hear of a configuration and of a target that leaves, with ${share} of them silenced`, async () => {
      // Symptom of the cause that this keeps away: a host goes on by an old configuration, and sends requests to a target that has left,
      // since its reads wait on connections on which nothing will ever come. New connections work all the while.
      await waitUntil(async () => (await fleet.call(fleet.host(0), '/look-up/x')).status === 200, 10_000, 'look-ups are answered')
      for (const host of silenced) cutters[host]?.silenceOpen()
      fleet.store.put('keyed.op', 'config', configuration(7, { 'look-up': { path_prefix: '/renamed/' } }))
      fleet.target('w-0').drain()
      await new Promise((resolve) => setTimeout(resolve, IN_FORCE_MS))
      const before = fleet.target('w-0').runs.length
      for (let request = 0; request < 9; request++) expect((await fleet.call(fleet.host(request % 3), '/renamed/x')).status, `host ${request % 3}`).to.equal(200)
      for (const host of fleet.hosts) expect((await fleet.call(host, '/look-up/x')).status).to.equal(404)
      expect(fleet.target('w-0').runs.length).to.equal(before)
    })
  }
})
