/** Compares the usage reports of host processes with the requests that targets received. */

import { expect } from 'chai'
import { waitUntil } from '../support/hostProcess.ts'
import { DutyStandIn } from './support/dutyStandIn.ts'
import { configuration, Fleet } from './support/fleet.ts'
import type { TargetOptions } from './support/targetStandIn.ts'

const WINDOW_SECONDS = 1
const DUE_SECONDS = 4
const targets: TargetOptions[] = [
  { id: 'e-0', service: 'engines', place: 'place-0', engine: { models: ['m'], eventMs: 10, loadMs: 150 } },
  { id: 'w-0', service: 'app', place: 'place-0' },
  { id: 'w-1', service: 'app', place: 'place-1' }
]
const tenants = ['acme', 'globex'].map((name) => ({ name, api_keys: [`key-of-${name}`] }))

describe('usage reports', function () {
  this.timeout(60_000)
  let fleet: Fleet
  let duties: DutyStandIn
  let sent: number

  beforeEach(async () => {
    duties = await DutyStandIn.start()
    fleet = await Fleet.start(3, targets, { usage: { address: duties.address, window_seconds: WINDOW_SECONDS, due_seconds: DUE_SECONDS } })
    fleet.store.put('keyed.op', 'config', { ...configuration(2, { score: { public: true } }), tenants })
    sent = 0
    await waitUntil(async () => (await Promise.all([0, 1, 2].map(async (host) => await lookUp(host)))).every(({ status }) => status === 200), 10_000, 'the workspaces are known')
  })
  afterEach(async () => {
    await fleet.stop()
    await duties.close()
  })

  async function lookUp (host: number, workspace = 'acme'): ReturnType<Fleet['call']> {
    return await fleet.call(fleet.host(host), '/look-up/x', { id: `counted-${sent++}`, headers: { authorization: `Token key-of-${workspace}` } })
  }

  /** Counts the requests of each workspace that targets started in all windows up to `through`. */
  function startedRequests (through: number): Record<string, number> {
    const counts: Record<string, number> = {}
    for (const { headers, at } of fleet.targets.flatMap(({ runs }) => runs)) {
      const workspace = headers['bulrushvalve-tenant']
      if (typeof workspace === 'string' && Math.floor(at / 1000 / WINDOW_SECONDS) <= through) counts[workspace] = (counts[workspace] ?? 0) + 1
    }
    return counts
  }

  function reportedRequests (through: number): Record<string, number> {
    const counts: Record<string, number> = {}
    for (const window of new Set(duties.reports.map((report) => report.window))) {
      if (window > through) continue
      for (const [workspace, count] of Object.entries(duties.counts(window) ?? {})) counts[workspace] = (counts[workspace] ?? 0) + count
    }
    return counts
  }

  const currentWindow = (): number => Math.floor(Date.now() / 1000 / WINDOW_SECONDS)

  async function waitUntilReported (window: number): Promise<void> {
    await waitUntil(() => duties.counts(window) !== undefined, 20_000, () => `window ${window} is reported\n${fleet.hosts.map(({ process }) => process.output).join('\n')}`)
  }

  it('count the requests that targets started, by workspace, with one report per window and without steps', async () => {
    await fleet.submitWithHeaders(fleet.host(0), 'step-1', [[3, 3]], { authorization: 'Token key-of-acme' })
    const until = Date.now() + 3000
    while (Date.now() < until) await Promise.all([lookUp(0), lookUp(1, 'globex'), lookUp(2)])
    const last = currentWindow()
    await waitUntilReported(last)
    const stepRuns = fleet.targets.flatMap(({ runs }) => runs).filter(({ id }) => id.startsWith('item-')).length
    expect(reportedRequests(last)).to.deep.equal({ acme: (startedRequests(last)['acme'] ?? 0) - stepRuns, globex: startedRequests(last)['globex'] })
    const windows = duties.reports.map(({ window }) => window)
    expect(windows).to.deep.equal(windows.map((_, index) => (windows[0] ?? 0) + index))
    expect(duties.reports.every(({ window, at }) => at - (window + 1) * 1000 * WINDOW_SECONDS <= DUE_SECONDS * 1000)).to.equal(true)
    expect(duties.violations).to.deep.equal([])
  })

  it('continue with the same counts after their sender is killed while the interface does not respond', async () => {
    duties.fault = 'unanswered'
    await Promise.all([lookUp(0), lookUp(1, 'globex'), lookUp(2)])
    await waitUntil(() => duties.reports.length > 0, 20_000, 'a report was sent')
    const former = fleet.dutyHolder()
    await former.process.kill()
    duties.fault = 'none'
    const last = currentWindow()
    await waitUntil(() => duties.reports.some(({ holder }) => holder !== former.name), 20_000, 'another host reports')
    await waitUntilReported(last)
    expect(duties.violations).to.deep.equal([])
  })

  it('are complete after all hosts are killed, except for the counts of the last second', async () => {
    for (let round = 0; round < 10; round++) await Promise.all([lookUp(0), lookUp(1), lookUp(2)])
    const counted = sent
    // By then each host has written its counts to the store.
    await new Promise((resolve) => setTimeout(resolve, 1600))
    await Promise.all(fleet.hosts.map(async ({ process }) => { await process.kill() }))
    for (const { process } of fleet.hosts) process.start()
    const last = currentWindow()
    await waitUntilReported(last)
    expect(reportedRequests(last)['acme']).to.equal(counted)
    expect(duties.violations).to.deep.equal([])
  })
})
