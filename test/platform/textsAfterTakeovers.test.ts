/** Texts of long items over takeovers, held against the engines' own record of what each run was asked. */

import { expect } from 'chai'
import { waitUntil } from '../support/hostProcess.ts'
import { Fleet } from './support/fleet.ts'
import type { TargetOptions } from './support/targetStandIn.ts'
import { readMadeEvent } from './support/targetStandIn.ts'

const engine = (id: string, place: string): TargetOptions => ({ id, service: 'engines', place, engine: { models: ['m'], eventMs: 10, loadMs: 150, namesRuns: true } })
const worker = (id: string, place: string): TargetOptions => ({ id, service: 'app', place })
const PROGRESS = 'bulrushvalve.progress'

describe('a text after takeovers', function () {
  this.timeout(90_000)
  let fleet: Fleet

  beforeEach(async () => { fleet = await Fleet.start(3, [engine('e-0', 'place-0'), engine('e-1', 'place-1'), worker('w-0', 'place-0')]) })
  afterEach(async () => { await fleet.stop() })

  const pause = async (milliseconds: number): Promise<void> => { await new Promise((resolve) => setTimeout(resolve, milliseconds)) }

  /** Each event stands at its number, and comes from the run of the one before or from one asked to go on after that. */
  function expectAsked (text: string): void {
    let before = ''
    for (const [index, data] of text.split('\n').entries()) {
      const event = readMadeEvent(data)
      expect(event?.number, data).to.equal(index)
      const made = event === undefined ? '' : `${event.engine} ${event.run}`
      const asked = event === undefined ? undefined : fleet.target(event.engine).runs[event.run]?.headers['last-event-id']
      if (made !== before) expect(asked, `last event id of the run that made ${data}, after ${before}`).to.equal(index === 0 ? undefined : String(index - 1))
      before = made
    }
  }

  it('goes on only where a run was asked to, though a save of a former holder lands late', async () => {
    // Symptom: in the text of an item, event n + 1 came from a run that had been asked to go on elsewhere.
    // The store did an append of progress seconds late, when its host had lost the duty and the next
    // holder had saved its own events for the same places; the third holder took both for one text.
    const lengths = [1400, 1300]
    await pause(1500)
    const first = fleet.holder()
    first.door.delays.set(PROGRESS, 3000)
    expect((await fleet.submit(first, 'step-1', [lengths])).status).to.equal(202)
    await pause(3800)
    first.process.freeze()
    await waitUntil(() => fleet.holder() !== first, 10_000, 'another host holds the duty')
    const second = fleet.holder()
    await pause(4000)
    await second.process.kill()
    first.process.wake()
    const third = fleet.hosts.find((host) => host !== first && host !== second)
    if (third === undefined) throw new Error('there is no third host')
    const page = await fleet.whenWhole(third, 'step-1', 40_000)
    expect(page.results.map(({ state }) => state)).to.deep.equal(['complete', 'complete'])
    expect(page.results.map(({ text }) => text.split('\n').length).sort((a, b) => b - a)).to.deep.equal(lengths)
    for (const { text } of page.results) expectAsked(text)
    const asked = fleet.targets.flatMap(({ runs }) => runs).filter(({ headers }) => headers['last-event-id'] !== undefined)
    expect(asked.length, 'runs that went on').to.be.greaterThan(0)
  })
})
