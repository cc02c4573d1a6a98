/** Requests under which targets end: bounded by all hosts together, and told from those that were only there. */

import { expect } from 'chai'
import { waitUntil } from '../support/hostProcess.ts'
import type { FleetHost, Reply } from './support/fleet.ts'
import { configuration, Fleet } from './support/fleet.ts'
import type { EndingOptions } from './support/endingTargets.ts'
import { EndingTargets } from './support/endingTargets.ts'
import type { RunRecord, TargetOptions } from './support/targetStandIn.ts'

/** Body of the request under which targets end. */
const FATAL = 'ends its target'
const fatalCall: EndingOptions = { under: ({ body }) => body === FATAL, afterMs: 50, backAfterMs: 1000 }
/** Time after the third end in which all hosts know of it, in milliseconds. */
const KNOWN_MS = 3000
/** Sends of a request after that time, at most: the users' bound. */
const MOST_LATER = 3
/** Share of other requests that are served while targets end, at least. */
const LEAST_SERVED = 0.95
/** Result code of a request that is held back. */
const HELD = 1012

const worker = (index: number, answerMs = 15): TargetOptions => ({ id: `w-${index}`, service: 'app', place: `place-${index % 3}`, answerMs })
const engine = (index: number): TargetOptions => ({ id: `e-${index}`, service: 'engines', place: `place-${index % 3}`, engine: { models: ['m'], eventMs: 30, loadMs: 150 } })
const workers = [0, 1, 2, 3, 4].map((index) => worker(index))

describe('requests under which targets end', function () {
  this.timeout(90_000)
  let fleet: Fleet
  let targets: EndingTargets

  async function start (hosts: number, options: readonly TargetOptions[], ending: EndingOptions): Promise<void> {
    fleet = await Fleet.start(hosts, [])
    targets = await EndingTargets.start(fleet, options, ending)
    for (const host of fleet.hosts) await waitUntil(async () => (await fleet.call(host, '/look-up/first')).status === 200, 10_000, 'look-ups are answered')
  }

  afterEach(async () => {
    targets.stop()
    await fleet.stop()
  })

  /** Calls in a steady rate at hosts in turn, each with an id of its own, until a time has passed. */
  async function repeat (hosts: readonly FleetHost[], everyMs: number, forMs: number, path: string, body?: string): Promise<Reply[]> {
    const calls: Promise<Reply>[] = []
    const until = Date.now() + forMs
    for (let index = 0; Date.now() < until; index++) {
      const host = hosts[index % hosts.length]
      if (host !== undefined) calls.push(fleet.call(host, path, body === undefined ? {} : { body }))
      await new Promise((resolve) => setTimeout(resolve, everyMs))
    }
    return await Promise.all(calls)
  }

  /** Runs of what ends targets that begin later than the time in which all hosts know of the third end. */
  function laterRuns (under: (run: RunRecord) => boolean): string[] {
    const third = targets.ended[2]?.at ?? Number.POSITIVE_INFINITY
    return targets.runs.filter((run) => under(run) && run.at > third + KNOWN_MS).map(({ id, target, at }) => `${id} at ${target} after ${at - third} ms`)
  }

  const served = (replies: readonly Reply[]): number => replies.filter(({ status }) => status === 200).length / replies.length

  it('reach targets three times more at most once three have ended under them, whichever hosts they come to', async () => {
    // Symptom: a look-up reached targets four times more after three had ended under it, and nine and eleven ended in all; a service of
    // three targets was away for seconds, five times in a day.
    // Sequence: the same request came again and again, each time with an id of its own and to another host. A call at `abdali-2` said
    // `i-0c03:unknownOutcome:73ms i-358c:unknownOutcome:75ms`, 0.9 s later one at `marka-2` `i-ba00:unknownOutcome:120ms`; then none was left.
    // Cause: hosts kept no record of what had been asked when a target ended, so each call could use all of its route's attempts.
    await start(4, workers, fatalCall)
    const others = repeat(fleet.hosts, 50, 10_000, '/look-up/other')
    const fatal = await repeat(fleet.hosts, 333, 10_000, '/look-up/fatal', FATAL)
    expect(targets.ended.length).to.be.at.least(3)
    expect(laterRuns(fatalCall.under)).to.have.length.at.most(MOST_LATER)
    expect(served(await others)).to.be.at.least(LEAST_SERVED)
    expect(fatal.map(({ status }) => status)).to.not.include(200)
  })

  it('stay so after the loss of all hosts', async () => {
    // Symptom: as above, after all hosts had been killed at once: what a process remembers goes with it.
    await start(3, workers, fatalCall)
    await repeat(fleet.hosts, 333, 5000, '/look-up/fatal', FATAL)
    await Promise.all(fleet.hosts.map(async ({ process }) => { await process.kill() }))
    for (const { process } of fleet.hosts) process.start()
    for (const host of fleet.hosts) await fleet.whenReady(host)
    await repeat(fleet.hosts, 333, 5000, '/look-up/fatal', FATAL)
    expect(laterRuns(fatalCall.under)).to.have.length.at.most(MOST_LATER)
  })

  it('stay so where they are items of a step, and the other items are made', async () => {
    // Symptom: engines ended 50 times in 15 s under one item. The item came first in the line after each lost run, and went to the next engine at once.
    const fatalItem: EndingOptions = { under: ({ id }) => id === 'item-0-0', afterMs: 60, backAfterMs: 800 }
    await start(3, [worker(0), worker(1), ...[0, 1, 2, 3].map(engine)], fatalItem)
    fleet.store.put('keyed.op', 'config', configuration(2, { steps: { retention_s: 12 } }))
    await fleet.submit(fleet.host(0), 'step-1', Array.from({ length: 12 }, () => [8, 8, 8, 8]))
    await new Promise((resolve) => setTimeout(resolve, 9000))
    const page = await fleet.results(fleet.host(1), 'step-1')
    expect(page.results.filter(({ state }) => state === 'complete')).to.have.length(47)
    expect(laterRuns(fatalItem.under)).to.have.length.at.most(MOST_LATER)
    // It may not be given up before its time.
    expect(page.results).to.have.length(47)
    const { results } = await fleet.whenWhole(fleet.host(1), 'step-1')
    expect(results.filter(({ state }) => state === 'lost').map(({ id }) => id)).to.deep.equal(['item-0-0'])
  })

  it('are told from a question that many ask while targets end for other reasons', async () => {
    // What must not happen: targets end one after the other as their machines do, a question that everybody asks is under way
    // at each, and callers are told that it is held back.
    await start(3, [0, 1, 2, 3, 4].map((index) => worker(index, 60)), { under: () => false, afterMs: 0, backAfterMs: 1000 })
    const asked = repeat(fleet.hosts, 25, 8000, '/look-up/popular', 'the question of the day')
    for (let end = 0; end < 8; end++) {
      await new Promise((resolve) => setTimeout(resolve, 700))
      const alive = fleet.targets.filter(({ options: { id } }) => fleet.store.newest('keyed.servers').get(id)?.value !== undefined)
      const busy = alive.find(({ runs }) => runs.some(({ ended }) => ended === 'open')) ?? alive[0]
      if (busy !== undefined) await targets.end(busy)
    }
    const replies = await asked
    expect(replies.filter(({ text }) => text.includes(`"number":${HELD}`))).to.have.length(0)
    expect(served(replies)).to.be.at.least(LEAST_SERVED)
  })
})
