/** Targets that send bytes without end: what callers and items get, how long it takes, and how much memory a host uses meanwhile. */

import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import { pause } from '../../standins/httpStandIn.ts'
import { waitUntil } from '../support/hostProcess.ts'
import type { EndlessAnswerName } from './support/endlessTarget.ts'
import { EndlessTarget, endlessAnswers } from './support/endlessTarget.ts'
import type { FleetHost } from './support/fleet.ts'
import { Fleet } from './support/fleet.ts'

const DEADLINE_MS = 1400
/** Longest silence of a stream on the route `chat`. */
const STREAM_SILENCE_MS = 1500
/** Time that a busy machine may take on top of a limit. */
const MARGIN_MS = 1000
/** Memory that a host may use for all its work. */
const MAX_GROWTH_MB = 64
const MEMORY_POLL_MS = 20
/** Time after which a host knows of a changed entry. */
const REGISTRATION_MS = 1200
/** Time in which items of a step are tried at the target. */
const ITEMS_MS = 1500
const ENTRY = { zone: 'place-0', version: 'v1', slots: 8, state: 'ready', cold_left_ms: 0, seq: 1 }

describe('answers without end', function () {
  this.timeout(120_000)
  let fleet: Fleet
  let endless: EndlessTarget
  let restMb: number

  const memoryMb = ({ process }: FleetHost): number => Number(/VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${process.pid}/status`, 'utf8'))?.[1]) / 1024

  before(async () => {
    endless = await EndlessTarget.start()
    const engine = { models: ['m'], eventMs: 5, loadMs: 50 }
    fleet = await Fleet.start(1, [{ id: 'w-0', service: 'app', place: 'place-0' }, { id: 'e-0', service: 'engines', place: 'place-0', engine }])
    await fleet.submit(fleet.host(0), 'sound', [[4, 4, 4, 4]])
    await fleet.waitUntilComplete(fleet.host(0), 'sound')
    await Promise.all(Array.from({ length: 200 }, async () => await fleet.call(fleet.host(0), '/look-up/sound')))
    restMb = memoryMb(fleet.host(0))
  })
  after(async () => {
    endless.close()
    await fleet.stop()
  })

  /** Lets the sound targets or the endless one serve both services. */
  async function register (which: 'sound' | 'endless'): Promise<void> {
    for (const target of fleet.targets) {
      if (which === 'sound') target.register()
      else target.deregister()
    }
    for (const service of ['app', 'engines']) putEndless(service, which === 'endless')
    if (which === 'sound') putEndless('engines', false, 'for-items')
    await pause(REGISTRATION_MS)
  }

  /** Its id is new for each answer and use, so that it is not avoided because of a former one. */
  function putEndless (service: string, isPresent: boolean, use = 'for-callers'): void {
    const model = service === 'engines' ? { stage: 'both', models: [{ name: 'm', version: 1, adapters: [] }] } : {}
    fleet.store.put('keyed.servers', `endless-${service}-${endless.answer.replaceAll(' ', '-')}-${use}`, isPresent ? { ...ENTRY, service, addr: endless.address, ...model } : undefined)
  }

  async function timed (work: Promise<unknown>): Promise<number> {
    const startedAt = Date.now()
    await work.catch(() => undefined)
    return Date.now() - startedAt
  }

  /** Items that no earlier step had, so that no earlier result is used for them. */
  function newItems (step: string): object[] {
    const { items } = JSON.parse(fleet.stepBody([[4, 4, 4, 4]])) as { items: { id: string, scorer: { id: string } }[] }
    return items.map((item) => ({ ...item, id: `${step}-${item.id}`, scorer: { ...item.scorer, id: `${step}-${item.scorer.id}` } }))
  }

  for (const answer of Object.keys(endlessAnswers) as EndlessAnswerName[]) {
    it(`of ${answer} end within the limits of callers and items, in bounded memory`, async () => {
      // Guards against a host that holds callers for as long as a target sends, and that runs out of memory.
      const host = fleet.host(0)
      const step = `step-${answer.replaceAll(' ', '-')}`
      endless.answer = answer
      await register('endless')
      let peakMb = 0
      const polling = setInterval(() => { peakMb = Math.max(peakMb, memoryMb(host)) }, MEMORY_POLL_MS)
      const requestsBefore = endless.requests
      const headers = { 'bulrushvalve-deadline-ms': String(DEADLINE_MS), 'bulrushvalve-model': 'm' }
      const calls = Array.from({ length: 3 }, async (_, index) => await timed(fleet.call(host, `/look-up/${step}-${index}`, { headers })))
      const streams = Array.from({ length: 3 }, async (_, index) => await timed(fleet.call(host, `/chat/events-4/${step}-${index}`, { headers })))
      const [callMs, streamMs] = [await Promise.all(calls), await Promise.all(streams)]
      const requestsOfCallers = endless.requests - requestsBefore
      putEndless('engines', true, 'for-items')
      await pause(REGISTRATION_MS)
      await fleet.submit(host, step, [[4, 4, 4, 4]], { items: newItems(step) })
      await pause(ITEMS_MS)
      clearInterval(polling)
      expect(requestsOfCallers).to.be.at.least(6)
      expect(endless.requests - requestsBefore - requestsOfCallers, 'requests for items').to.be.at.least(1)
      expect(Math.max(...callMs), 'calls').to.be.below(DEADLINE_MS + MARGIN_MS)
      expect(Math.max(...streamMs), 'streams').to.be.below(STREAM_SILENCE_MS + MARGIN_MS)
      expect(peakMb - restMb, 'growth of memory in MB').to.be.below(MAX_GROWTH_MB)
      await register('sound')
      await waitUntil(() => endless.longestAnswerMs < STREAM_SILENCE_MS + MARGIN_MS, STREAM_SILENCE_MS, 'the connections are closed')
      await waitUntil(async () => (await fleet.call(host, '/look-up/after')).status === 200, 3000, 'calls are served')
      await fleet.waitUntilComplete(host, step, 5000)
    })
  }
})
