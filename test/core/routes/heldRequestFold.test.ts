/** The fold that determines which requests are held back, from the order of ends, answers and trials in the topic. */

import { expect } from 'chai'
import { asRequestFingerprint, targetIncarnationId } from '../../../src/base/common/ids.ts'
import { HeldRequestFold } from '../../../src/core/common/routes/heldRequestFold.ts'
import { requestClearedRecord, targetEndedRecord, readHeldRequestRecord, trialRecord } from '../../../src/core/common/routes/heldRequestRecords.ts'
import type { KeyedEntry, KeyedRecord } from '../../../src/ports/common/keyedLog.ts'

const poisonRequest = asRequestFingerprint('f'.repeat(32))
const other = asRequestFingerprint('0'.repeat(32))
const incarnation = (number: number): ReturnType<typeof targetIncarnationId> => targetIncarnationId(`t/${number}`, undefined)

class TestTopic {
  readonly entries: KeyedEntry[] = []
  readonly fold = new HeldRequestFold()
  now = 1000
  private nonces = 0

  write (make: (nonce: string) => KeyedRecord): string {
    const record = make(`n${this.nonces++}`)
    this.entries.push({ ...record, offset: this.entries.length })
    this.fold.apply({ ...record, offset: this.entries.length - 1 }, this.now)
    return record.key
  }

  drop (key: string): void {
    this.write(() => ({ key, value: undefined }))
  }

  /** Returns the fold of a host that starts now and reads only the newest record of each key. */
  restartedFold (): HeldRequestFold {
    const newest = new Map<string, KeyedEntry>()
    for (const entry of this.entries) newest.set(entry.key, entry)
    const fold = new HeldRequestFold()
    fold.reset([...newest.values()].filter(({ value }) => value !== undefined).sort((a, b) => a.offset - b.offset), this.now)
    return fold
  }

  holdState (fingerprint = poisonRequest): ReturnType<HeldRequestFold['holdState']> {
    expect(this.restartedFold().holdState(fingerprint, this.now)).to.deep.equal(this.fold.holdState(fingerprint, this.now))
    return this.fold.holdState(fingerprint, this.now)
  }
}

describe('the fold of held requests', () => {
  it('watches a request after the first end of a target and holds it from the second end', () => {
    const topic = new TestTopic()
    expect([topic.fold.isEmpty, topic.holdState().type]).to.deep.equal([true, 'free'])
    topic.write((nonce) => targetEndedRecord(incarnation(1), [poisonRequest, other], nonce))
    expect([topic.holdState(), topic.holdState(other).type]).to.deep.equal([{ type: 'watched', ends: 1 }, 'watched'])
    // Another host reports the same end.
    topic.write((nonce) => targetEndedRecord(incarnation(1), [poisonRequest], nonce))
    expect(topic.holdState()).to.deep.equal({ type: 'watched', ends: 1 })
    topic.write((nonce) => targetEndedRecord(incarnation(2), [poisonRequest], nonce))
    expect(topic.holdState()).to.deep.equal({ type: 'held', ends: 2, trials: 0, trialUnderWay: false, nextTrialInMs: 0 })
    expect(topic.fold.counts).to.deep.equal({ held: 1, watched: 1 })
  })

  it('clears all ends with an answer and ignores a late report of one of them', () => {
    const topic = new TestTopic()
    for (const number of [1, 2, 3]) topic.write((nonce) => targetEndedRecord(incarnation(number), [poisonRequest], nonce))
    topic.write((nonce) => requestClearedRecord(poisonRequest, nonce))
    topic.write((nonce) => targetEndedRecord(incarnation(3), [poisonRequest], nonce))
    expect(topic.holdState().type).to.equal('free')
    topic.write((nonce) => targetEndedRecord(incarnation(4), [poisonRequest], nonce))
    expect(topic.holdState()).to.deep.equal({ type: 'watched', ends: 1 })
  })

  it('grants a trial to the first claim of its number, one at a time, two at the short delay and later ones at the long delay', () => {
    const topic = new TestTopic()
    for (const number of [1, 2]) topic.write((nonce) => targetEndedRecord(incarnation(number), [poisonRequest], nonce))
    const first = topic.write((nonce) => trialRecord(poisonRequest, 1, nonce))
    const second = topic.write((nonce) => trialRecord(poisonRequest, 1, nonce))
    expect([topic.fold.isTrialGranted(poisonRequest, first), topic.fold.isTrialGranted(poisonRequest, second)]).to.deep.equal([true, false])
    expect(topic.holdState()).to.include({ trials: 1, trialUnderWay: true })
    topic.write((nonce) => targetEndedRecord(incarnation(3), [poisonRequest], nonce))
    expect(topic.holdState()).to.include({ ends: 3, trialUnderWay: false, nextTrialInMs: 4000 })
    topic.now += 4000
    expect(topic.fold.holdState(poisonRequest, topic.now)).to.include({ nextTrialInMs: 0 })
    expect(topic.fold.isTrialGranted(poisonRequest, topic.write((nonce) => trialRecord(poisonRequest, 2, nonce)))).to.equal(true)
    topic.now += 60_000
    expect(topic.fold.holdState(poisonRequest, topic.now)).to.include({ nextTrialInMs: 240_000 })
  })

  it('does not count a withdrawn trial, and counts one whose host is lost until it times out', () => {
    const topic = new TestTopic()
    for (const number of [1, 2]) topic.write((nonce) => targetEndedRecord(incarnation(number), [poisonRequest], nonce))
    const key = topic.write((nonce) => trialRecord(poisonRequest, 1, nonce))
    topic.drop(key)
    expect(topic.fold.holdState(poisonRequest, topic.now)).to.include({ trials: 0, trialUnderWay: false, nextTrialInMs: 4000 })
    topic.now += 4000
    topic.write((nonce) => trialRecord(poisonRequest, 1, nonce))
    topic.now += 3000
    expect(topic.fold.holdState(poisonRequest, topic.now)).to.include({ trials: 1, trialUnderWay: false })
  })

  it('removes an end with the last of its records', () => {
    const topic = new TestTopic()
    const keys = [1, 1, 2].map((number) => topic.write((nonce) => targetEndedRecord(incarnation(number), [poisonRequest], nonce)))
    topic.now += 10_000
    expect(topic.fold.keysOlderThan(9000, topic.now)).to.deep.equal(keys)
    topic.drop(keys[0] ?? '')
    expect(topic.holdState()).to.include({ ends: 2 })
    topic.drop(keys[1] ?? '')
    expect(topic.holdState()).to.deep.equal({ type: 'watched', ends: 1 })
    topic.drop(keys[2] ?? '')
    expect([topic.holdState().type, topic.fold.isEmpty]).to.deep.equal(['free', true])
  })

  it('keeps a request held while many other requests end targets', () => {
    const topic = new TestTopic()
    for (const number of [1, 2]) topic.write((nonce) => targetEndedRecord(incarnation(number), [poisonRequest], nonce))
    for (let number = 0; number < 2000; number++) topic.write((nonce) => targetEndedRecord(incarnation(100 + number), [asRequestFingerprint(number.toString(16).padStart(32, '0'))], nonce))
    expect(topic.holdState().type).to.equal('held')
  })

  it('ignores dropped keys that were written by others', () => {
    // An exception here would stop every host from following the topic.
    const topic = new TestTopic()
    for (const key of ['ended/%/n', 'ended', 'trial/%/n', 'trial', 'cleared/x', 'ended//']) topic.drop(key)
    expect(topic.fold.isEmpty).to.equal(true)
  })

  it('ignores unreadable records and records of steps', () => {
    for (const [key, value] of [
      ['ended/t/n', 'no JSON'], ['ended/t/n', '{"under":["short"]}'], ['ended/%/n', '{"under":[]}'], ['ended//n', '{"under":[]}'],
      ['cleared/x/n', '{}'], ['trial/x/n', '{"number":1}'], [`trial/${poisonRequest}/n`, '{"number":0}'], ['step/s/0', '0/1:{}'], ['end/s', '{}']
    ] as const) expect(readHeldRequestRecord({ key, value, offset: 0 }), `${key} ${value}`).to.equal(undefined)
  })
})
