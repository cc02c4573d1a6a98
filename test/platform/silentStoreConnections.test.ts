/** Tests that hosts learn of changes in time after their connections to the store permanently stop delivering data. */

import { expect } from 'chai'
import type { FaultyForwarder } from '../support/faultyForwarder.ts'
import { startFaultyForwarder } from '../support/faultyForwarder.ts'
import { waitUntil } from '../support/hostProcess.ts'
import { configuration, Fleet } from './support/fleet.ts'
import type { TargetOptions } from './support/targetStandIn.ts'

const engine = (id: string, place: string): TargetOptions => ({ id, service: 'engines', place, engine: { models: ['m'], eventMs: 10, loadMs: 150 } })
const worker = (id: string, place: string): TargetOptions => ({ id, service: 'app', place })
/** Time within which a configuration and a drain take effect on all hosts of a small deployment. */
const PROPAGATION_MS = 2000

describe('hosts whose connections to the store permanently stop delivering data', function () {
  this.timeout(60_000)
  let fleet: Fleet
  let cutters: FaultyForwarder[]

  beforeEach(async () => {
    cutters = []
    const storeAddressFor = async (address: string, host: number): Promise<string> => {
      const cutter = await startFaultyForwarder(() => address)
      cutters[host] = cutter
      return cutter.address
    }
    fleet = await Fleet.start(3, [engine('e-0', 'place-0'), worker('w-0', 'place-0'), worker('w-1', 'place-1')], {}, { storeAddressFor })
  })
  afterEach(async () => {
    await fleet.stop()
    await Promise.all(cutters.map(async (cutter) => { await cutter.close() }))
  })

  for (const [share, silenced] of [['some', [0, 1]], ['all', [0, 1, 2]]] as const) {
    it(`learn of a configuration and of a draining target, with ${share} of them affected`, async () => {
      // Guards against a host that uses an old configuration and sends requests to a draining target because its reads
      // wait on connections that never deliver data, while new connections work.
      await waitUntil(async () => (await fleet.call(fleet.host(0), '/look-up/x')).status === 200, 10_000, 'look-ups are answered')
      for (const host of silenced) cutters[host]?.silenceOpenConnections()
      fleet.store.put('keyed.op', 'config', configuration(7, { 'look-up': { path_prefix: '/renamed/' } }))
      fleet.target('w-0').drain()
      await new Promise((resolve) => setTimeout(resolve, PROPAGATION_MS))
      const before = fleet.target('w-0').runs.length
      for (let request = 0; request < 9; request++) expect((await fleet.call(fleet.host(request % 3), '/renamed/x')).status, `host ${request % 3}`).to.equal(200)
      for (const host of fleet.hosts) expect((await fleet.call(host, '/look-up/x')).status).to.equal(404)
      expect(fleet.target('w-0').runs.length).to.equal(before)
    })
  }
})
