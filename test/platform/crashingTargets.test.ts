/** Tests the quarantine of requests that crash targets: all hosts together limit their runs, and unrelated requests are not held back. */

import { expect } from 'chai'
import { waitUntil } from '../support/hostProcess.ts'
import type { FleetHost, Reply } from './support/fleet.ts'
import { configuration, Fleet } from './support/fleet.ts'
import type { CrashingOptions } from './support/crashingTargets.ts'
import { CrashingTargets } from './support/crashingTargets.ts'
import type { RunRecord, TargetOptions } from './support/targetStandIn.ts'

/** Body of the request that crashes targets. */
const CRASHING_BODY = 'ends its target'
const crashingRequest: CrashingOptions = { under: ({ body }) => body === CRASHING_BODY, afterMs: 50, restartAfterMs: 1000 }
/** Time after the third crash within which all hosts know of it. */
const PROPAGATION_MS = 3000
/** Limit on runs of a request after that time, as required by the users. */
const MAX_LATER_RUNS = 3
/** Longest time after a burst of crashes until an item that was interrupted by it is completed: its longest delay, its run and its scoring. */
const PLACED_AGAIN_MS = 3000
/** Minimum share of other requests that are served while targets crash. */
const MIN_SERVED_SHARE = 0.95
/** Number of the result code `requestHeld`. */
const HELD_RESULT_NUMBER = 1012

const worker = (index: number, responseDelayMs = 15): TargetOptions => ({ id: `w-${index}`, service: 'app', place: `place-${index % 3}`, responseDelayMs })
const engine = (index: number): TargetOptions => ({ id: `e-${index}`, service: 'engines', place: `place-${index % 3}`, engine: { models: ['m'], eventMs: 30, loadMs: 150 } })
const workers = [0, 1, 2, 3, 4].map((index) => worker(index))

describe('requests that crash targets', function () {
  this.timeout(90_000)
  let fleet: Fleet
  let targets: CrashingTargets

  async function start (hosts: number, options: readonly TargetOptions[], ending: CrashingOptions): Promise<void> {
    fleet = await Fleet.start(hosts, [])
    targets = await CrashingTargets.start(fleet, options, ending)
    for (const host of fleet.hosts) await waitUntil(async () => (await fleet.call(host, '/look-up/first')).status === 200, 10_000, 'look-ups are answered')
  }

  afterEach(async () => {
    targets.stop()
    await fleet.stop()
  })

  /** Sends requests at a constant rate for a given time, to the hosts in turn and each with its own id. */
  async function callRepeatedly (hosts: readonly FleetHost[], everyMs: number, forMs: number, path: string, body?: string): Promise<Reply[]> {
    const calls: Promise<Reply>[] = []
    const until = Date.now() + forMs
    for (let index = 0; Date.now() < until; index++) {
      const host = hosts[index % hosts.length]
      if (host !== undefined) calls.push(fleet.call(host, path, body === undefined ? {} : { body }))
      await new Promise((resolve) => setTimeout(resolve, everyMs))
    }
    return await Promise.all(calls)
  }

  /** Lists the runs of crashing requests that start after all hosts must know of the third crash. */
  function runsAfterPropagation (under: (run: RunRecord) => boolean): string[] {
    const third = targets.ended[2]?.at ?? Number.POSITIVE_INFINITY
    return targets.runs.filter((run) => under(run) && run.at > third + PROPAGATION_MS).map(({ id, target, at }) => `${id} at ${target} after ${at - third} ms`)
  }

  const servedShare = (replies: readonly Reply[]): number => replies.filter(({ status }) => status === 200).length / replies.length

  it('run at most three more times after they have crashed three targets, whichever hosts receive them', async () => {
    // Guards against a repeated request that takes a whole service down. A request ran four more times after it had crashed three
    // targets, and crashed nine and eleven in all; a service of three targets was unavailable for seconds, five times in a day. The
    // request was repeated with a new id at other hosts: two targets crashed 73 and 75 ms after a call at one host, and 0.9 s later the
    // last one 120 ms after a call at another host. Hosts did not record what a target was running when it crashed, so each
    // call could use all attempts of its route.
    await start(4, workers, crashingRequest)
    const others = callRepeatedly(fleet.hosts, 50, 10_000, '/look-up/other')
    const fatal = await callRepeatedly(fleet.hosts, 333, 10_000, '/look-up/fatal', CRASHING_BODY)
    expect(targets.ended.length).to.be.at.least(3)
    expect(runsAfterPropagation(crashingRequest.under)).to.have.length.at.most(MAX_LATER_RUNS)
    expect(servedShare(await others)).to.be.at.least(MIN_SERVED_SHARE)
    expect(fatal.map(({ status }) => status)).to.not.include(200)
  })

  it('stay limited after all hosts are killed', async () => {
    // Guards against the same failure if records of crashes exist only in the memory of hosts, which are killed at once.
    await start(3, workers, crashingRequest)
    await callRepeatedly(fleet.hosts, 333, 5000, '/look-up/fatal', CRASHING_BODY)
    await Promise.all(fleet.hosts.map(async ({ process }) => { await process.kill() }))
    for (const { process } of fleet.hosts) process.start()
    for (const host of fleet.hosts) await fleet.waitUntilReady(host)
    await callRepeatedly(fleet.hosts, 333, 5000, '/look-up/fatal', CRASHING_BODY)
    expect(runsAfterPropagation(crashingRequest.under)).to.have.length.at.most(MAX_LATER_RUNS)
  })

  it('run at growing intervals if they are items of a step, and the other items complete', async () => {
    // Guards against an item that crashes engines repeatedly, 50 times in 15 s: it returned to the head of the queue after each lost run and was sent to the next engine at once.
    const crashingItem: CrashingOptions = { under: ({ id }) => id === 'item-0-0', afterMs: 60, restartAfterMs: 800 }
    await start(3, [worker(0), worker(1), ...[0, 1, 2, 3].map(engine)], crashingItem)
    fleet.store.put('keyed.op', 'config', configuration(2, { steps: { retention_s: 12 } }))
    await fleet.submit(fleet.host(0), 'step-1', Array.from({ length: 12 }, () => [8, 8, 8, 8]))
    await new Promise((resolve) => setTimeout(resolve, 9000))
    const page = await fleet.results(fleet.host(1), 'step-1')
    expect(page.results.filter(({ state }) => state === 'complete')).to.have.length(47)
    // Three runs in a row, four at growing intervals, and one a second in the 9 s.
    expect(targets.runs.filter(crashingItem.under)).to.have.length.at.most(16)
    // The item must not be given up before its retention period ends.
    expect(page.results).to.have.length(47)
    const { results } = await fleet.waitUntilComplete(fleet.host(1), 'step-1')
    expect(results.filter(({ state }) => state === 'lost').map(({ id }) => id)).to.deep.equal(['item-0-0'])
  })

  for (const [name, under] of [['an item of a step', 'item-0-0'], ['the scorer call of an item', 'score-0-0']] as const) {
    it(`are not held back if they are ${name}, which completes soon after the last of six crashes`, async () => {
      // Guards against a sound item that is never placed again because targets crashed while they ran it.
      const crashes = 6
      const burst: CrashingOptions = { under: ({ id }) => id === under && targets.ended.length < crashes, afterMs: 40, restartAfterMs: 500 }
      await start(3, [0, 1, 2, 3, 4].flatMap((index) => [worker(index), engine(index)]), burst)
      await fleet.submit(fleet.host(0), 'step-1', Array.from({ length: 6 }, () => [8, 8, 8, 8]))
      await waitUntil(() => targets.ended.length === crashes, 15_000, () => `${targets.ended.length} of ${crashes} targets have crashed`)
      const { results } = await fleet.waitUntilComplete(fleet.host(1), 'step-1', PLACED_AGAIN_MS)
      expect(results.filter(({ state }) => state === 'complete')).to.have.length(24)
    })
  }

  it('are distinguished from a popular request that runs while targets crash for other reasons', async () => {
    // Guards against a false quarantine: machines fail one after the other while each of their targets runs a popular request,
    // and the request is held back.
    await start(3, [0, 1, 2, 3, 4].map((index) => worker(index, 60)), { under: () => false, afterMs: 0, restartAfterMs: 1000 })
    const asked = callRepeatedly(fleet.hosts, 25, 8000, '/look-up/popular', 'the question of the day')
    for (let end = 0; end < 8; end++) {
      await new Promise((resolve) => setTimeout(resolve, 700))
      const alive = fleet.targets.filter(({ options: { id } }) => fleet.store.newest('keyed.servers').get(id)?.value !== undefined)
      const busy = alive.find(({ runs }) => runs.some(({ ended }) => ended === 'open')) ?? alive[0]
      if (busy !== undefined) await targets.crash(busy)
    }
    const replies = await asked
    expect(replies.filter(({ text }) => text.includes(`"number":${HELD_RESULT_NUMBER}`))).to.have.length(0)
    expect(servedShare(replies)).to.be.at.least(MIN_SERVED_SHARE)
  })
})
