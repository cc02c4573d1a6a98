/** Which requests are held back, by the order of what hosts wrote of ends, answers and trials. */

import { expect } from 'chai'
import { asRequestFingerprint, targetLife } from '../../../src/base/common/ids.ts'
import { EndFold } from '../../../src/core/common/routes/endFold.ts'
import { clearedRecord, endedRecord, readEndRecord, trialRecord } from '../../../src/core/common/routes/endRecords.ts'
import type { KeyedEntry, KeyedRecord } from '../../../src/ports/common/keyedLog.ts'

const fatal = asRequestFingerprint('f'.repeat(32))
const other = asRequestFingerprint('0'.repeat(32))
const life = (number: number): ReturnType<typeof targetLife> => targetLife(`t/${number}`, undefined)

class Topic {
  readonly entries: KeyedEntry[] = []
  readonly fold = new EndFold()
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

  /** A host that starts: it reads the newest record of each key. */
  started (): EndFold {
    const newest = new Map<string, KeyedEntry>()
    for (const entry of this.entries) newest.set(entry.key, entry)
    const fold = new EndFold()
    fold.reset([...newest.values()].filter(({ value }) => value !== undefined).sort((a, b) => a.offset - b.offset), this.now)
    return fold
  }

  standing (print = fatal): ReturnType<EndFold['standing']> {
    expect(this.started().standing(print, this.now)).to.deep.equal(this.fold.standing(print, this.now))
    return this.fold.standing(print, this.now)
  }
}

describe('the fold of ends under requests', () => {
  it('watches a request under which one target ended and holds it from the second on', () => {
    const topic = new Topic()
    expect([topic.fold.isEmpty, topic.standing().type]).to.deep.equal([true, 'free'])
    topic.write((nonce) => endedRecord(life(1), [fatal, other], nonce))
    expect([topic.standing(), topic.standing(other).type]).to.deep.equal([{ type: 'watched', ends: 1 }, 'watched'])
    // Another host saw the same end.
    topic.write((nonce) => endedRecord(life(1), [fatal], nonce))
    expect(topic.standing()).to.deep.equal({ type: 'watched', ends: 1 })
    topic.write((nonce) => endedRecord(life(2), [fatal], nonce))
    expect(topic.standing()).to.deep.equal({ type: 'held', ends: 2, trials: 0, trialUnderWay: false, nextTrialInMs: 0 })
    expect(topic.fold.counts).to.deep.equal({ held: 1, watched: 1 })
  })

  it('takes all ends off with an answer, and counts a late report of one of them no more', () => {
    const topic = new Topic()
    for (const number of [1, 2, 3]) topic.write((nonce) => endedRecord(life(number), [fatal], nonce))
    topic.write((nonce) => clearedRecord(fatal, nonce))
    topic.write((nonce) => endedRecord(life(3), [fatal], nonce))
    expect(topic.standing().type).to.equal('free')
    topic.write((nonce) => endedRecord(life(4), [fatal], nonce))
    expect(topic.standing()).to.deep.equal({ type: 'watched', ends: 1 })
  })

  it('gives a trial to the first claim of its number, one at a time, two soon and then hardly any', () => {
    const topic = new Topic()
    for (const number of [1, 2]) topic.write((nonce) => endedRecord(life(number), [fatal], nonce))
    const first = topic.write((nonce) => trialRecord(fatal, 1, nonce))
    const second = topic.write((nonce) => trialRecord(fatal, 1, nonce))
    expect([topic.fold.isGranted(fatal, first), topic.fold.isGranted(fatal, second)]).to.deep.equal([true, false])
    expect(topic.standing()).to.include({ trials: 1, trialUnderWay: true })
    topic.write((nonce) => endedRecord(life(3), [fatal], nonce))
    expect(topic.standing()).to.include({ ends: 3, trialUnderWay: false, nextTrialInMs: 4000 })
    topic.now += 4000
    expect(topic.fold.standing(fatal, topic.now)).to.include({ nextTrialInMs: 0 })
    expect(topic.fold.isGranted(fatal, topic.write((nonce) => trialRecord(fatal, 2, nonce)))).to.equal(true)
    topic.now += 60_000
    expect(topic.fold.standing(fatal, topic.now)).to.include({ nextTrialInMs: 240_000 })
  })

  it('counts a trial that is given back no more, and one whose host is lost until it is over', () => {
    const topic = new Topic()
    for (const number of [1, 2]) topic.write((nonce) => endedRecord(life(number), [fatal], nonce))
    const key = topic.write((nonce) => trialRecord(fatal, 1, nonce))
    topic.drop(key)
    expect(topic.fold.standing(fatal, topic.now)).to.include({ trials: 0, trialUnderWay: false, nextTrialInMs: 4000 })
    topic.now += 4000
    topic.write((nonce) => trialRecord(fatal, 1, nonce))
    topic.now += 3000
    expect(topic.fold.standing(fatal, topic.now)).to.include({ trials: 1, trialUnderWay: false })
  })

  it('forgets an end with the last of its records', () => {
    const topic = new Topic()
    const keys = [1, 1, 2].map((number) => topic.write((nonce) => endedRecord(life(number), [fatal], nonce)))
    topic.now += 10_000
    expect(topic.fold.keysOlderThan(9000, topic.now)).to.deep.equal(keys)
    topic.drop(keys[0] ?? '')
    expect(topic.standing()).to.include({ ends: 2 })
    topic.drop(keys[1] ?? '')
    expect(topic.standing()).to.deep.equal({ type: 'watched', ends: 1 })
    topic.drop(keys[2] ?? '')
    expect([topic.standing().type, topic.fold.isEmpty]).to.deep.equal(['free', true])
  })

  it('keeps a mark however many other requests end targets beside it', () => {
    const topic = new Topic()
    for (const number of [1, 2]) topic.write((nonce) => endedRecord(life(number), [fatal], nonce))
    for (let number = 0; number < 2000; number++) topic.write((nonce) => endedRecord(life(100 + number), [asRequestFingerprint(number.toString(16).padStart(32, '0'))], nonce))
    expect(topic.standing().type).to.equal('held')
  })

  it('passes over dropped keys that no host of ours wrote', () => {
    // One that threw would end the following of the topic on every host.
    const topic = new Topic()
    for (const key of ['ended/%/n', 'ended', 'trial/%/n', 'trial', 'cleared/x', 'ended//']) topic.drop(key)
    expect(topic.fold.isEmpty).to.equal(true)
  })

  it('passes over what it cannot read, and records of steps', () => {
    for (const [key, value] of [
      ['ended/t/n', 'no JSON'], ['ended/t/n', '{"under":["short"]}'], ['ended/%/n', '{"under":[]}'], ['ended//n', '{"under":[]}'],
      ['cleared/x/n', '{}'], ['trial/x/n', '{"number":1}'], [`trial/${fatal}/n`, '{"number":0}'], ['step/s/0', '0/1:{}'], ['end/s', '{}']
    ] as const) expect(readEndRecord({ key, value, offset: 0 }), `${key} ${value}`).to.equal(undefined)
  })
})
