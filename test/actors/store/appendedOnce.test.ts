/** One record under one key, whatever way an append goes, and no append that may be done is called not done. */

import { expect } from 'chai'
import fc from 'fast-check'
import { AppendNotes } from '../../../src/actors/common/store/appendNotes.ts'
import { GroupAppender } from '../../../src/actors/common/store/groupAppender.ts'
import { RelayedKeyedLog } from '../../../src/actors/common/store/relayedKeyedLog.ts'
import { StoreReach } from '../../../src/actors/common/store/storeReach.ts'
import type { Result } from '../../../src/base/common/resultCode.ts'
import { failure, success } from '../../../src/base/common/resultCode.ts'
import { StepFold } from '../../../src/core/common/steps/stepFold.ts'
import { claimRecord, resultRecord, submissionRecords } from '../../../src/core/common/steps/stepRecords.ts'
import type { KeyedLog, KeyedRecord } from '../../../src/ports/common/keyedLog.ts'
import type { PeerMethod, PeerMethods, Peers } from '../../../src/ports/common/peers.ts'
import { quietLog, quietMetrics } from '../../support/fakeHost.ts'
import { ManualClock, seededChance } from '../../support/manualClock.ts'
import { MemoryKeyedLog } from '../../support/memoryKeyedLog.ts'
import { item, submission } from '../../support/steps.ts'

/** What becomes of one call: done and answered, refused by the store, nobody listens, or without an answer and then done at once, later or never. */
const fates = ['done', 'refused', 'nobody', 'lost', 'late', 'never'] as const
type Fate = typeof fates[number]

/** A store that one host reaches directly and by helpers; each call meets the next of the given fates. */
class Ways {
  readonly store = new MemoryKeyedLog()
  readonly log: RelayedKeyedLog
  readonly lines: object[] = []

  constructor (clock: ManualClock, fate: () => Fate) {
    const meet = async (records: readonly KeyedRecord[]): Promise<Result<Result<number>>> => {
      switch (fate()) {
        case 'done': return success(await this.store.append(records))
        case 'refused': return success(failure('logUnavailable', 'the store refuses'))
        case 'nobody': return failure('targetUnreachable', 'nobody listens')
        case 'lost':
          this.store.write(records)
          return failure('unknownOutcome', 'no answer')
        case 'late':
          this.store.delayAppends = 1
          await this.store.append(records)
          return failure('unknownOutcome', 'no answer')
        case 'never': return failure('unknownOutcome', 'no answer')
      }
    }
    const peers: Peers = {
      call: async <Method extends PeerMethod>(_address: string, _method: Method, parameters: PeerMethods[Method]['parameters']) => await meet((parameters as PeerMethods['store.append']['parameters']).records) as never
    }
    const direct: KeyedLog = {
      append: async (records) => {
        const answer = await meet(records)
        if (answer.ok) return answer.value
        return answer.code === 'targetUnreachable' ? failure('logUnavailable', answer.message) : failure('commandUnknown', answer.message)
      },
      read: async (from) => await this.store.read(from),
      readSome: async (from, kilobytes) => await this.store.readSome(from, kilobytes),
      newest: async (after) => await this.store.newest(after)
    }
    const notes = new AppendNotes({ clock, stateLog: { ...quietLog, decided: (what, details) => { this.lines.push({ what, ...details }) } } })
    this.log = new RelayedKeyedLog({ peers: notes.ofPeers(peers), helpers: () => ['one', 'two', 'three'], reach: new StoreReach(clock, async () => false), metrics: quietMetrics }, notes.ofLog('t', direct), 't')
  }
}

/** Calls meet these fates in turn, and are done after that. */
function inTurn (...given: readonly Fate[]): () => Fate {
  let next = 0
  return () => given[next++] ?? 'done'
}

function folds (store: MemoryKeyedLog): { followed: StepFold, loaded: StepFold } {
  const followed = new StepFold()
  for (const entry of store.entries) followed.apply([entry])
  const loaded = new StepFold()
  loaded.reset(store.newestEntries().sort((a, b) => a.offset - b.offset))
  return { followed, loaded }
}

describe('an append through other hosts', () => {
  const clock = new ManualClock()
  const result = (id: string, nonce: string): KeyedRecord => resultRecord('s', { item: id, state: 'complete', versions: [1], score: undefined, textKey: `${id} by ${nonce}` }, nonce)
  const append = async (log: KeyedLog, id: string): Promise<Result<number>> => {
    const appender = new GroupAppender({ log, clock, chance: seededChance(1), metrics: quietMetrics }, { callCharacters: 1000 })
    const appended = appender.append((nonce) => [result(id, nonce)], 1000)
    await clock.advance(200)
    return await appended
  }

  it('leaves each result at its position when one that had no answer is done late', async () => {
    // A trainer read a position twice and got two results. The store turned a host away; the host's append
    // of a result had no answer from the first helper and was done by the second, and seconds later the
    // first one was done too. Both had the same key, so the record moved behind the results written in
    // between: hosts that had followed the topic kept it at its first place, hosts that loaded did not.
    const { store, log } = new Ways(clock, inTurn('refused', 'late', 'done'))
    store.write(submissionRecords(submission('s', [item('a', 'g'), item('b', 'g')]), 1, 'n').outline)
    expect((await append(log, 'a')).ok).to.equal(true)
    store.write([result('b', 'other')])
    store.land()
    const { followed, loaded } = folds(store)
    expect(followed.step('s')?.results.map(({ item }) => item)).to.deep.equal(['a', 'b'])
    expect(loaded.step('s')?.results).to.deep.equal(followed.step('s')?.results)
  })

  it('leaves a term with one holder when a claim that had no answer is done late', async () => {
    // Two hosts could each take themselves for the holder of one term: a claim went through two helpers
    // under one key, another host claimed the same term, and the first helper's append was done last.
    const { store, log } = new Ways(clock, inTurn('refused', 'late', 'done'))
    await log.append([claimRecord({ duty: 'd', holder: 'one', term: 1 }, 'x')])
    store.write([claimRecord({ duty: 'd', holder: 'two', term: 1 }, 'y')])
    store.land()
    const { followed, loaded } = folds(store)
    expect(loaded.duty('d')?.holder).to.equal(followed.duty('d')?.holder)
  })

  it('is not called undone because a later host was refused', async () => {
    // A trainer was told that its step had surely not been taken, and the step ran: the first helper gave no
    // answer, the second was refused by the store, and the refusal counted for both.
    const { store, log } = new Ways(clock, inTurn('refused', 'late', 'refused'))
    expect(await log.append([result('a', 'n')])).to.include({ ok: false, code: 'commandUnknown' })
    store.land()
    expect(store.entries).to.have.length(1)
  })

  it('goes on to the next host after a refusal, and after a host that was not reached', async () => {
    for (const fate of ['refused', 'nobody'] as const) {
      const { store, log } = new Ways(clock, inTurn('refused', fate, 'done'))
      expect(await log.append([result('a', 'n')])).to.deep.equal({ ok: true, value: 0 })
      expect(store.entries).to.have.length(1)
    }
  })

  it('writes a key once at most and calls undone only what is never done, whatever becomes of each call', async () => {
    await fc.assert(fc.asyncProperty(fc.array(fc.constantFrom(...fates), { maxLength: 12 }), async (given) => {
      const { store, log } = new Ways(clock, inTurn(...given))
      const answers: Result<number>[] = []
      for (let append = 0; append < 3; append++) answers.push(await log.append([{ key: `key${append}`, value: 'x' }]))
      store.land()
      answers.forEach((answer, append) => {
        const written = store.entries.filter(({ key }) => key === `key${append}`).length
        if (answer.ok) expect(written).to.equal(1)
        else if (answer.code === 'logUnavailable') expect(written).to.equal(0)
        else expect(written).to.be.at.most(1)
      })
    }))
  })

  it('is told of in a line that names its way if it had no answer', async () => {
    const { log, lines } = new Ways(clock, inTurn('refused', 'refused', 'lost'))
    await log.append([result('a', 'n'), result('b', 'n')])
    const line = { what: 'append not confirmed', topic: 't', failed: true, records: 2, key: 'result/s/a/n', tookMs: 0, unwritten: 0 }
    expect(lines).to.deep.equal([{ ...line, way: 'direct', code: 'logUnavailable' }, { ...line, way: 'one', code: 'logUnavailable' }, { ...line, way: 'two', code: 'unknownOutcome' }])
  })

  it('keeps an unknown outcome through refused tries that follow', async () => {
    const { log } = new Ways(clock, inTurn('refused', 'late', ...Array.from({ length: 100 }, () => 'refused' as const)))
    const appender = new GroupAppender({ log, clock, chance: seededChance(1), metrics: quietMetrics }, { callCharacters: 1000 })
    const appended = appender.append((nonce) => [result('a', nonce)], 300)
    await clock.advance(500)
    expect(await appended).to.include({ ok: false, code: 'commandUnknown' })
  })
})
