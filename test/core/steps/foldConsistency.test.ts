/** Hosts hold the same state of a topic regardless of when each loaded it, with late, lost and repeated appends. */

import { expect } from 'chai'
import fc from 'fast-check'
import { StepFold } from '../../../src/core/common/steps/stepFold.ts'
import type { DutyClaim } from '../../../src/core/common/steps/stepRecords.ts'
import { tombstone } from '../../../src/core/common/keyedRecords.ts'
import { claimRecord, endRecord, releaseRecord, renewalRecord, resultRecord, submissionRecords } from '../../../src/core/common/steps/stepRecords.ts'
import type { KeyedRecord } from '../../../src/ports/common/keyedLog.ts'
import { MemoryKeyedLog } from '../../support/memoryKeyedLog.ts'
import { newItem, newSubmission } from '../../support/steps.ts'

const ITEMS = ['a', 'b', 'c']
const HOLDERS = ['one', 'two', 'three']

/** An append by a host, based on what the host has read. Each delay is one attempt, which is written that many appends later. */
interface Append {
  readonly what: 'submission' | 'result' | 'end' | 'claim' | 'renewal' | 'release' | 'drop of a step' | 'drop of claims'
  readonly step: string
  readonly item: string
  readonly holder: string
  readonly deliveryDelays: readonly number[]
  /** Whether a further host loads the topic after this append. */
  readonly reload: boolean
}

const appends = (...kinds: readonly Append['what'][]): fc.Arbitrary<Append[]> => fc.array(fc.record({
  what: fc.constantFrom(...kinds),
  step: fc.constantFrom('s', 't'),
  item: fc.constantFrom(...ITEMS),
  holder: fc.constantFrom(...HOLDERS),
  deliveryDelays: fc.array(fc.nat(6), { minLength: 1, maxLength: 3 }),
  reload: fc.boolean()
}), { maxLength: 40 })

/** Returns the records of each attempt. Records whose position matters get a new nonce with each attempt. */
function recordsPerAttempt ({ what, step, item: name, holder, deliveryDelays }: Append, fold: StepFold, nonce: (place: number) => string): (readonly KeyedRecord[])[] {
  const term = fold.duty('d')?.term ?? 0
  // Only the holder, as far as it has read, renews or releases the duty.
  const currentClaim: DutyClaim = { duty: 'd', holder: fold.duty('d')?.holder ?? holder, term }
  switch (what) {
    case 'submission': {
      // The same host repeats a submission under the same keys; another host writes payloads of its own.
      const { outline } = submissionRecords(newSubmission(step, ITEMS.map((id) => newItem(id, 'g'))), 1, nonce(0))
      return deliveryDelays.map(() => outline)
    }
    case 'result': return deliveryDelays.map((_, place) => [resultRecord(step, { item: name, state: 'complete', versions: [1], score: undefined, textKey: nonce(place) }, nonce(place))])
    case 'end': return deliveryDelays.map(() => [endRecord(step)])
    // Claims, renewals and releases are sent once.
    case 'claim': return [[claimRecord({ duty: 'd', holder, term: term + 1 }, nonce(0))]]
    case 'renewal': return term === 0 ? [] : [[renewalRecord(currentClaim, 1)]]
    case 'release': return term === 0 ? [] : [[releaseRecord(currentClaim)]]
    case 'drop of a step': {
      if (fold.step(step) === undefined) return []
      const records = fold.keysOf(step).map(tombstone)
      return deliveryDelays.map(() => records)
    }
    case 'drop of claims': return [fold.outdatedClaims('d').map(tombstone)]
  }
}

/** Replays the appends. Returns a host that followed from the beginning, hosts that loaded in between, and one that loads at the end. */
function replayAppends (given: readonly Append[]): { hosts: StepFold[], log: MemoryKeyedLog } {
  const log = new MemoryKeyedLog()
  const hosts = [new StepFold()]
  const addReloadedHost = (): void => {
    const fold = new StepFold()
    fold.reset(log.newestEntries().sort((a, b) => a.offset - b.offset))
    hosts.push(fold)
  }
  const pending: { due: number, records: readonly KeyedRecord[] }[] = []
  const deliver = (now: number): void => {
    for (const { records } of pending.filter(({ due }) => due === now)) {
      const from = log.entries.length
      log.write(records)
      for (const host of hosts) host.apply(log.entries.slice(from))
    }
  }
  given.forEach((append, now) => {
    const [first = new StepFold()] = hosts
    recordsPerAttempt(append, first, (place) => `n${now}x${place}`).forEach((records, place) => { pending.push({ due: now + (append.deliveryDelays[place] ?? 0), records }) })
    deliver(now)
    if (append.reload) addReloadedHost()
  })
  for (let now = given.length; pending.some(({ due }) => due >= now); now++) deliver(now)
  addReloadedHost()
  return { hosts, log }
}

const stateOf = (fold: StepFold): unknown => ({
  steps: ['s', 't'].map((id) => fold.step(id)).map((step) => step === undefined ? 'none' : { results: step.results, positions: [...step.positions], ended: step.ended }),
  duty: ((duty) => duty === undefined ? 'nobody' : { holder: duty.holder, term: duty.term, released: duty.released })(fold.duty('d'))
})

function expectSameState (given: readonly Append[]): void {
  const { hosts: [followed = new StepFold(), ...loaded] } = replayAppends(given)
  for (const host of loaded) expect(stateOf(host)).to.deep.equal(stateOf(followed))
}

describe('hosts that followed a topic and hosts that loaded it later', () => {
  it('agree on results, their positions and the end of steps', () => {
    fc.assert(fc.property(appends('submission', 'result', 'result', 'result', 'end'), expectSameState), { numRuns: 1000 })
  })

  it('agree on the holder of a duty', () => {
    fc.assert(fc.property(appends('claim', 'renewal', 'release', 'drop of claims'), expectSameState), { numRuns: 1000 })
  })

  it('agree while steps are dropped', () => {
    // Dropping a step names the records that the dropping host had read. A result written just before the drop remains in
    // the store. If the step's outline, or a repetition of it, is written after the drop, hosts that load the topic would
    // list that result while hosts that had followed it would not.
    fc.assert(fc.property(appends('submission', 'result', 'result', 'end', 'drop of a step'), expectSameState), { numRuns: 1000 })
  })
})
