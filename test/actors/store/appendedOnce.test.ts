/** Tests that an append writes each key at most once by any route, and that no append that may be applied is reported as not applied. */

import { expect } from 'chai'
import fc from 'fast-check'
import { AppendFailureLogger } from '../../../src/actors/common/store/appendFailureLogger.ts'
import { GroupAppender } from '../../../src/actors/common/store/groupAppender.ts'
import { RelayedKeyedLog } from '../../../src/actors/common/store/relayedKeyedLog.ts'
import { StoreReachability } from '../../../src/actors/common/store/storeReachability.ts'
import type { Result } from '../../../src/base/common/resultCode.ts'
import { failure, success } from '../../../src/base/common/resultCode.ts'
import { StepFold } from '../../../src/core/common/steps/stepFold.ts'
import { claimRecord, resultRecord, submissionRecords } from '../../../src/core/common/steps/stepRecords.ts'
import type { KeyedLog, KeyedRecord } from '../../../src/ports/common/keyedLog.ts'
import type { PeerMethod, PeerMethods, Peers } from '../../../src/ports/common/peers.ts'
import { noopStateLog, noopMetrics } from '../../support/fakeHost.ts'
import { ManualClock, newSeededChance } from '../../support/manualClock.ts'
import { MemoryKeyedLog } from '../../support/memoryKeyedLog.ts'
import { newItem, newSubmission } from '../../support/steps.ts'

/** Outcome of one call: applied and answered, refused by the store, connection refused, or unanswered and applied at once, later or never. */
const CALL_OUTCOMES = ['done', 'refused', 'nobody', 'lost', 'late', 'never'] as const
type CallOutcome = typeof CALL_OUTCOMES[number]

/** Store that a host reaches directly and through relay hosts; each call has the next of the given outcomes. */
class RelayedStore {
  readonly store = new MemoryKeyedLog()
  readonly log: RelayedKeyedLog
  readonly lines: object[] = []

  constructor (clock: ManualClock, nextOutcome: () => CallOutcome) {
    const simulateCall = async (records: readonly KeyedRecord[]): Promise<Result<Result<number>>> => {
      switch (nextOutcome()) {
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
      call: async <Method extends PeerMethod>(_address: string, _method: Method, parameters: PeerMethods[Method]['parameters']) => await simulateCall((parameters as PeerMethods['store.append']['parameters']).records) as never
    }
    const direct: KeyedLog = {
      append: async (records) => {
        const answer = await simulateCall(records)
        if (answer.ok) return answer.value
        return answer.code === 'targetUnreachable' ? failure('logUnavailable', answer.message) : failure('commandUnknown', answer.message)
      },
      read: async (from) => await this.store.read(from),
      readSome: async (from, kilobytes) => await this.store.readSome(from, kilobytes),
      newest: async (after) => await this.store.newest(after)
    }
    const failureLogger = new AppendFailureLogger({ clock, stateLog: { ...noopStateLog, decided: (what, details) => { this.lines.push({ what, ...details }) } } })
    this.log = new RelayedKeyedLog({ peers: failureLogger.wrapPeers(peers), helpers: () => ['one', 'two', 'three'], reach: new StoreReachability(clock, async () => false), metrics: noopMetrics }, failureLogger.wrapLog('t', direct), 't')
  }
}

/** Returns the given outcomes in turn, and `done` after that. */
function outcomesInTurn (...outcomes: readonly CallOutcome[]): () => CallOutcome {
  let next = 0
  return () => outcomes[next++] ?? 'done'
}

function foldBothWays (store: MemoryKeyedLog): { followed: StepFold, loaded: StepFold } {
  const followed = new StepFold()
  for (const entry of store.entries) followed.apply([entry])
  const loaded = new StepFold()
  loaded.reset(store.newestEntries().sort((a, b) => a.offset - b.offset))
  return { followed, loaded }
}

describe('RelayedKeyedLog appends through other hosts', () => {
  const clock = new ManualClock()
  const result = (id: string, nonce: string): KeyedRecord => resultRecord('s', { item: id, state: 'complete', versions: [1], score: undefined, textKey: `${id} by ${nonce}` }, nonce)
  const append = async (log: KeyedLog, id: string): Promise<Result<number>> => {
    const appender = new GroupAppender({ log, clock, chance: newSeededChance(1), metrics: noopMetrics }, { maxCallCharacters: 1000 })
    const appended = appender.append((nonce) => [result(id, nonce)], 1000)
    await clock.advance(200)
    return await appended
  }

  it('keep the position of each result when an unanswered append is applied late', async () => {
    // Guards against a trainer that reads two different results at one position. The store refused a host; its append
    // of a result was not answered by the first relay host and applied through the second, and seconds later the first
    // one was applied too. With the same key, the record moved behind the results written in between for hosts that
    // loaded the topic, and kept its first position for hosts that had followed it.
    const { store, log } = new RelayedStore(clock, outcomesInTurn('refused', 'late', 'done'))
    store.write(submissionRecords(newSubmission('s', [newItem('a', 'g'), newItem('b', 'g')]), 1, 'n').outline)
    expect((await append(log, 'a')).ok).to.equal(true)
    store.write([result('b', 'other')])
    store.applyDelayedAppends()
    const { followed, loaded } = foldBothWays(store)
    expect(followed.step('s')?.results.map(({ item }) => item)).to.deep.equal(['a', 'b'])
    expect(loaded.step('s')?.results).to.deep.equal(followed.step('s')?.results)
  })

  it('leave a term with one holder when an unanswered claim is applied late', async () => {
    // Guards against two hosts that both consider themselves holder of one term: a claim was sent through two relay hosts
    // with one key, another host claimed the same term, and the append of the first relay host was applied last.
    const { store, log } = new RelayedStore(clock, outcomesInTurn('refused', 'late', 'done'))
    await log.append([claimRecord({ duty: 'd', holder: 'one', term: 1 }, 'x')])
    store.write([claimRecord({ duty: 'd', holder: 'two', term: 1 }, 'y')])
    store.applyDelayedAppends()
    const { followed, loaded } = foldBothWays(store)
    expect(loaded.duty('d')?.holder).to.equal(followed.duty('d')?.holder)
  })

  it('are not reported as not applied because a later host was refused', async () => {
    // Guards against a step that runs although its trainer was told that it was not accepted: the first relay host did not
    // answer, the second was refused by the store, and the refusal was taken as the outcome of both.
    const { store, log } = new RelayedStore(clock, outcomesInTurn('refused', 'late', 'refused'))
    expect(await log.append([result('a', 'n')])).to.include({ ok: false, code: 'commandUnknown' })
    store.applyDelayedAppends()
    expect(store.entries).to.have.length(1)
  })

  it('continue with the next host after a refusal, and after a host that was not reached', async () => {
    for (const outcome of ['refused', 'nobody'] as const) {
      const { store, log } = new RelayedStore(clock, outcomesInTurn('refused', outcome, 'done'))
      expect(await log.append([result('a', 'n')])).to.deep.equal({ ok: true, value: 0 })
      expect(store.entries).to.have.length(1)
    }
  })

  it('write a key at most once and report as not applied only what is never applied, for any outcomes of the calls', async () => {
    await fc.assert(fc.asyncProperty(fc.array(fc.constantFrom(...CALL_OUTCOMES), { maxLength: 12 }), async (outcomes) => {
      const { store, log } = new RelayedStore(clock, outcomesInTurn(...outcomes))
      const answers: Result<number>[] = []
      for (let append = 0; append < 3; append++) answers.push(await log.append([{ key: `key${append}`, value: 'x' }]))
      store.applyDelayedAppends()
      answers.forEach((answer, append) => {
        const written = store.entries.filter(({ key }) => key === `key${append}`).length
        if (answer.ok) expect(written).to.equal(1)
        else if (answer.code === 'logUnavailable') expect(written).to.equal(0)
        else expect(written).to.be.at.most(1)
      })
    }))
  })

  it('are logged with their route if they were not answered', async () => {
    const { log, lines } = new RelayedStore(clock, outcomesInTurn('refused', 'refused', 'lost'))
    await log.append([result('a', 'n'), result('b', 'n')])
    const line = { what: 'append not confirmed', topic: 't', failed: true, records: 2, key: 'result/s/a/n', tookMs: 0, unwritten: 0 }
    expect(lines).to.deep.equal([{ ...line, way: 'direct', code: 'logUnavailable' }, { ...line, way: 'one', code: 'logUnavailable' }, { ...line, way: 'two', code: 'unknownOutcome' }])
  })

  it('keep an unknown outcome when later attempts are refused', async () => {
    const { log } = new RelayedStore(clock, outcomesInTurn('refused', 'late', ...Array.from({ length: 100 }, () => 'refused' as const)))
    const appender = new GroupAppender({ log, clock, chance: newSeededChance(1), metrics: noopMetrics }, { maxCallCharacters: 1000 })
    const appended = appender.append((nonce) => [result('a', nonce)], 300)
    await clock.advance(500)
    expect(await appended).to.include({ ok: false, code: 'commandUnknown' })
  })
})
