/** What hosts hold of one topic, whenever each of them loaded it, under late, lost and repeated appends. */

import { expect } from 'chai'
import fc from 'fast-check'
import { StepFold } from '../../../src/core/common/steps/stepFold.ts'
import type { DutyClaim } from '../../../src/core/common/steps/stepRecords.ts'
import { dropRecord } from '../../../src/core/common/keyedRecords.ts'
import { claimRecord, endRecord, releaseRecord, renewalRecord, resultRecord, submissionRecords } from '../../../src/core/common/steps/stepRecords.ts'
import type { KeyedRecord } from '../../../src/ports/common/keyedLog.ts'
import { MemoryKeyedLog } from '../../support/memoryKeyedLog.ts'
import { item, submission } from '../../support/steps.ts'

const ITEMS = ['a', 'b', 'c']
const HOLDERS = ['one', 'two', 'three']

/** What a host appends next, by what it has read; `repeats` more tries follow, each landing so many appends later. */
interface Append {
  readonly what: 'submission' | 'result' | 'end' | 'claim' | 'renewal' | 'release' | 'drop of a step' | 'drop of claims'
  readonly step: string
  readonly item: string
  readonly holder: string
  readonly landsAfter: readonly number[]
  /** Whether a host loads the topic anew after this. */
  readonly reload: boolean
}

const appends = (...kinds: readonly Append['what'][]): fc.Arbitrary<Append[]> => fc.array(fc.record({
  what: fc.constantFrom(...kinds),
  step: fc.constantFrom('s', 't'),
  item: fc.constantFrom(...ITEMS),
  holder: fc.constantFrom(...HOLDERS),
  landsAfter: fc.array(fc.nat(6), { minLength: 1, maxLength: 3 }),
  reload: fc.boolean()
}), { maxLength: 40 })

/** Makes the records of each try: those whose place matters have a nonce, and a try of its own makes a new one. */
function triesOf ({ what, step, item: name, holder, landsAfter }: Append, fold: StepFold, nonce: (place: number) => string): (readonly KeyedRecord[])[] {
  const term = fold.duty('d')?.term ?? 0
  // Only who holds the duty, as far as it has read, renews or releases it.
  const own: DutyClaim = { duty: 'd', holder: fold.duty('d')?.holder ?? holder, term }
  switch (what) {
    case 'submission': {
      // Repeated under its keys by its host, and with payloads of its own by another host.
      const { outline } = submissionRecords(submission(step, ITEMS.map((id) => item(id, 'g'))), 1, nonce(0))
      return landsAfter.map(() => outline)
    }
    case 'result': return landsAfter.map((_, place) => [resultRecord(step, { item: name, state: 'complete', versions: [1], score: undefined, textKey: nonce(place) }, nonce(place))])
    case 'end': return landsAfter.map(() => [endRecord(step)])
    // These are sent once.
    case 'claim': return [[claimRecord({ duty: 'd', holder, term: term + 1 }, nonce(0))]]
    case 'renewal': return term === 0 ? [] : [[renewalRecord(own, 1)]]
    case 'release': return term === 0 ? [] : [[releaseRecord(own)]]
    case 'drop of a step': {
      if (fold.step(step) === undefined) return []
      const records = fold.keysOf(step).map(dropRecord)
      return landsAfter.map(() => records)
    }
    case 'drop of claims': return [fold.outdatedClaims('d').map(dropRecord)]
  }
}

/** Plays the appends; gives a host that followed from the beginning, hosts that loaded in between, and one that loads at the end. */
function play (given: readonly Append[]): { hosts: StepFold[], log: MemoryKeyedLog } {
  const log = new MemoryKeyedLog()
  const hosts = [new StepFold()]
  const load = (): void => {
    const fold = new StepFold()
    fold.reset(log.newestEntries().sort((a, b) => a.offset - b.offset))
    hosts.push(fold)
  }
  const waiting: { due: number, records: readonly KeyedRecord[] }[] = []
  const land = (now: number): void => {
    for (const { records } of waiting.filter(({ due }) => due === now)) {
      const from = log.entries.length
      log.write(records)
      for (const host of hosts) host.apply(log.entries.slice(from))
    }
  }
  given.forEach((append, now) => {
    const [first = new StepFold()] = hosts
    triesOf(append, first, (place) => `n${now}x${place}`).forEach((records, place) => { waiting.push({ due: now + (append.landsAfter[place] ?? 0), records }) })
    land(now)
    if (append.reload) load()
  })
  for (let now = given.length; waiting.some(({ due }) => due >= now); now++) land(now)
  load()
  return { hosts, log }
}

const pictureOf = (fold: StepFold): unknown => ({
  steps: ['s', 't'].map((id) => fold.step(id)).map((step) => step === undefined ? 'none' : { results: step.results, positions: [...step.positions], ended: step.ended }),
  duty: ((duty) => duty === undefined ? 'nobody' : { holder: duty.holder, term: duty.term, released: duty.released })(fold.duty('d'))
})

function alike (given: readonly Append[]): void {
  const { hosts: [followed = new StepFold(), ...loaded] } = play(given)
  for (const host of loaded) expect(pictureOf(host)).to.deep.equal(pictureOf(followed))
}

describe('hosts that followed a topic and hosts that loaded it', () => {
  it('give the same results at the same positions and the same ends', () => {
    fc.assert(fc.property(appends('submission', 'result', 'result', 'result', 'end'), alike), { numRuns: 1000 })
  })

  it('name the same holder of a duty', () => {
    fc.assert(fc.property(appends('claim', 'renewal', 'release', 'drop of claims'), alike), { numRuns: 1000 })
  })

  it('give the same while steps are dropped', () => {
    // The drop of a step names what its author had read. A result written just before the drop stays in the
    // store; were the step's outline, or a repeat of it, written after the drop, hosts that load the topic
    // would list that result and hosts that had followed it would not.
    fc.assert(fc.property(appends('submission', 'result', 'result', 'end', 'drop of a step'), alike), { numRuns: 1000 })
  })
})
