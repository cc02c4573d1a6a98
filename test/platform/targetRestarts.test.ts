/** Tests targets that restart under the same id, and foreign records in the store, with hosts as separate processes. */

import { expect } from 'chai'
import { waitUntil } from '../support/hostProcess.ts'
import { configuration, Fleet } from './support/fleet.ts'
import type { TargetOptions } from './support/targetStandIn.ts'

const FIRST_START = 1_700_000_000_000
const engine = (id: string, place: string): TargetOptions => ({ id, service: 'engines', place, born: FIRST_START, engine: { models: ['m'], eventMs: 10, loadMs: 150 } })
const worker = (id: string, place: string): TargetOptions => ({ id, service: 'app', place, born: FIRST_START })
const targets = [engine('e-0', 'place-0'), engine('e-1', 'place-1'), worker('w-0', 'place-0'), worker('w-1', 'place-1')]

/** Time-out for silent engines, longer than a complete step takes. */
const SILENCE_TIMEOUT_MS = 12_000

describe('hosts whose targets restart', function () {
  this.timeout(60_000)
  let fleet: Fleet
  beforeEach(async () => { fleet = await Fleet.start(2, targets, { steps: { silence: SILENCE_TIMEOUT_MS, first_event: SILENCE_TIMEOUT_MS } }) })
  afterEach(async () => { await fleet.stop() })

  const runsOf = (id: string): number => fleet.targets.reduce((sum, { runs }) => sum + runs.filter((run) => run.id === id).length, 0)

  it('resume a step from the events received, before the former incarnation times out', async () => {
    // Guards against a step that stalls: its engine lost power and restarted under the same id. The connections of
    // the former incarnation stayed open without data, and nothing ended the runs on them.
    await fleet.submit(fleet.host(0), 'step-1', [[150, 150, 150, 150]])
    await waitUntil(() => [0, 1, 2, 3].every((index) => runsOf(`item-0-${index}`) === 1), 5000, 'all items run')
    await new Promise((resolve) => setTimeout(resolve, 500))
    const restarted = fleet.targets.find(({ options, runs }) => options.engine !== undefined && runs.length > 0)
    const lost = restarted?.runs.map(({ id }) => id) ?? []
    await restarted?.restart()
    const page = await fleet.waitUntilComplete(fleet.host(1), 'step-1', SILENCE_TIMEOUT_MS / 2)
    for (const { id, text, versions } of page.results) {
      expect(text.split('\n')).to.deep.equal(Array.from({ length: 150 }, (_, number) => `${id}-${number}`))
      expect(versions).to.deep.equal([1])
    }
    expect(lost).not.to.deep.equal([])
    expect(lost.map(runsOf)).to.deep.equal(lost.map(() => 2))
    const resumed = fleet.targets.flatMap(({ runs }) => runs).filter(({ id, headers }) => lost.includes(id) && headers['last-event-id'] !== undefined)
    expect(resumed).to.have.length(lost.length)
    await waitUntil(() => fleet.hosts.every(({ process }) => process.output.includes('target restarted')), 3000, 'all hosts have logged the restart')
  })

  it('order the current incarnation of an engine to load the named version', async () => {
    fleet.store.put('keyed.op', 'version/m', { model: 'm', version: 2 })
    await waitUntil(() => ['e-0', 'e-1'].every((id) => fleet.target(id).versions.get('m') === 2), 10_000, 'both engines have version 2')
    await fleet.target('e-0').restart()
    expect(fleet.target('e-0').versions.get('m')).to.equal(1)
    await waitUntil(() => fleet.target('e-0').versions.get('m') === 2, 3000, 'the current incarnation has version 2')
    expect(fleet.target('e-0').orders.map(({ version }) => version)).to.deep.equal([2, 2])
    expect(fleet.target('e-1').orders).to.have.length(1)
  })
})

describe('hosts with a foreign writer in the store', function () {
  this.timeout(60_000)
  let fleet: Fleet
  beforeEach(async () => { fleet = await Fleet.start(2, targets) })
  afterEach(async () => { await fleet.stop() })

  const encodeKeyed = (key: string, value: string | Uint8Array): Uint8Array => Buffer.concat([Buffer.from([key.length]), Buffer.from(key), Buffer.from(value as string)])

  /** Writes unreadable records to all topics; one of them replaces the registration of `w-0`. */
  function writeUnreadableRecords (): void {
    const values = ['{', '[]', 'null', '{"version":"9"}', '{"service":7}', Uint8Array.from([0xff, 0xfe, 0x00]), JSON.stringify({ service: 'app', addr: '127.0.0.1:1', zone: 'place-0', version: 'v1', slots: 4, state: 'resting', cold_left_ms: 0, seq: 1, born: FIRST_START })]
    const keys: Record<string, readonly string[]> = {
      'keyed.servers': ['w-0', 'unknown', '%', ''],
      'keyed.op': ['config', 'version/m', 'version/%', 'other'],
      'keyed.bulrushvalve': ['end/%', 'step/%/0', 'step/x/0', 'result/x/%/n', 'claim/steps/1', 'release/%/1', 'renewal/steps', 'neither'],
      'keyed.bulrushvalve.contents': ['payload/%/n/0', 'text/%/i/n', 'neither']
    }
    for (const [topic, names] of Object.entries(keys)) {
      for (const value of values) for (const name of names) fleet.store.putBytes(topic, encodeKeyed(name, value))
      fleet.store.putBytes(topic, new Uint8Array())
      fleet.store.putBytes(topic, Uint8Array.from([200, 97]))
    }
    for (const value of values) fleet.store.putBytes('bulrushvalve.progress', Buffer.from(value as string))
  }

  it('process all readable records, and log each unreadable one once', async () => {
    // Guards against a host that stops following a topic, or sends requests to a target whose newest registration was
    // written by another writer, because the records are used without validation.
    writeUnreadableRecords()
    await fleet.submit(fleet.host(0), 'step-1', [[100, 3]])
    await waitUntil(() => hasRunStarted(), 5000, 'the step runs')
    for (let round = 0; round < 5; round++) writeUnreadableRecords()
    expect((await fleet.waitUntilComplete(fleet.host(1), 'step-1')).results.map(({ state }) => state)).to.deep.equal(['complete', 'complete'])
    const before = fleet.target('w-0').runs.length
    for (let request = 0; request < 6; request++) expect((await fleet.call(fleet.host(request % 2), '/look-up/x')).status).to.equal(200)
    expect(fleet.target('w-0').runs.length - before).to.equal(0)
    for (const { process } of fleet.hosts) {
      expect(process.output).not.to.include('a topic is no longer followed')
      expect(process.output.match(/"what":"(a target's entry|record of the operator) cannot be read"/g)?.length ?? 0).to.be.within(1, 12)
    }
    // A host that loads all topics after a restart logs the same as the hosts that have followed them.
    await fleet.host(1).process.kill()
    for (const topic of ['keyed.servers', 'keyed.op', 'keyed.bulrushvalve']) fleet.store.compact(topic)
    fleet.store.put('keyed.op', 'config', configuration(2))
    fleet.host(1).process.start()
    await fleet.waitUntilReady(fleet.host(1))
    for (let request = 0; request < 6; request++) expect((await fleet.call(fleet.host(1), '/look-up/x')).status).to.equal(200)
    expect(fleet.target('w-0').runs.length - before).to.equal(0)
    // The other target responds faster than an untried one is expected to, so it drains to leave only this one.
    fleet.target('w-0').register()
    fleet.target('w-1').drain()
    await waitUntil(async () => {
      await fleet.call(fleet.host(0), '/look-up/x')
      return fleet.target('w-0').runs.length > before
    }, 5000, 'the target is used again once its own registration is restored')
  })

  const hasRunStarted = (): boolean => fleet.targets.some(({ options, runs }) => options.engine !== undefined && runs.length > 0)
})
