/** Usage reports by hosts as processes, against what targets saw. */

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
    await waitUntil(async () => (await Promise.all([0, 1, 2].map(async (host) => await look(host)))).every(({ status }) => status === 200), 10_000, 'the workspaces are known')
  })
  afterEach(async () => {
    await fleet.stop()
    await duties.close()
  })

  async function look (host: number, workspace = 'acme'): ReturnType<Fleet['call']> {
    return await fleet.call(fleet.host(host), '/look-up/x', { id: `counted-${sent++}`, headers: { authorization: `Token key-of-${workspace}` } })
  }

  /** Requests of each workspace that targets began in all windows up to one. */
  function begun (through: number): Record<string, number> {
    const counts: Record<string, number> = {}
    for (const { headers, at } of fleet.targets.flatMap(({ runs }) => runs)) {
      const workspace = headers['bulrushvalve-tenant']
      if (typeof workspace === 'string' && Math.floor(at / 1000 / WINDOW_SECONDS) <= through) counts[workspace] = (counts[workspace] ?? 0) + 1
    }
    return counts
  }

  function reported (through: number): Record<string, number> {
    const counts: Record<string, number> = {}
    for (const window of new Set(duties.reports.map((report) => report.window))) {
      if (window > through) continue
      for (const [workspace, count] of Object.entries(duties.counts(window) ?? {})) counts[workspace] = (counts[workspace] ?? 0) + count
    }
    return counts
  }

  const present = (): number => Math.floor(Date.now() / 1000 / WINDOW_SECONDS)

  async function whenReported (window: number): Promise<void> {
    await waitUntil(() => duties.counts(window) !== undefined, 20_000, () => `window ${window} is reported\n${fleet.hosts.map(({ process }) => process.output).join('\n')}`)
  }

  it('tell for each workspace what targets began, in each window once; steps stand outside', async () => {
    await fleet.submitWith(fleet.host(0), 'step-1', [[3, 3]], { authorization: 'Token key-of-acme' })
    const until = Date.now() + 3000
    while (Date.now() < until) await Promise.all([look(0), look(1, 'globex'), look(2)])
    const last = present()
    await whenReported(last)
    const stepRuns = fleet.targets.flatMap(({ runs }) => runs).filter(({ id }) => id.startsWith('item-')).length
    expect(reported(last)).to.deep.equal({ acme: (begun(last)['acme'] ?? 0) - stepRuns, globex: begun(last)['globex'] })
    const windows = duties.reports.map(({ window }) => window)
    expect(windows).to.deep.equal(windows.map((_, index) => (windows[0] ?? 0) + index))
    expect(duties.reports.every(({ window, at }) => at - (window + 1) * 1000 * WINDOW_SECONDS <= DUE_SECONDS * 1000)).to.equal(true)
    expect(duties.violations).to.deep.equal([])
  })

  it('go on after their sender was killed while the interface did not answer it, with the same counts', async () => {
    duties.fault = 'unanswered'
    await Promise.all([look(0), look(1, 'globex'), look(2)])
    await waitUntil(() => duties.reports.length > 0, 20_000, 'a report was sent')
    const former = fleet.holder()
    await former.process.kill()
    duties.fault = 'none'
    const last = present()
    await waitUntil(() => duties.reports.some(({ holder }) => holder !== former.name), 20_000, 'another host reports')
    await whenReported(last)
    expect(duties.violations).to.deep.equal([])
  })

  it('are whole after the loss of all hosts, but for what the last second counted', async () => {
    for (let round = 0; round < 10; round++) await Promise.all([look(0), look(1), look(2)])
    const counted = sent
    // Each host has handed in by then.
    await new Promise((resolve) => setTimeout(resolve, 1600))
    await Promise.all(fleet.hosts.map(async ({ process }) => { await process.kill() }))
    for (const { process } of fleet.hosts) process.start()
    const last = present()
    await whenReported(last)
    expect(reported(last)['acme']).to.equal(counted)
    expect(duties.violations).to.deep.equal([])
  })
})
