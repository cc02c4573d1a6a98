/** Tests the log lines about appends that were refused or not answered. */

import { expect } from 'chai'
import { AppendFailureLogger } from '../../../src/actors/common/store/appendFailureLogger.ts'
import { failure, success } from '../../../src/base/common/resultCode.ts'
import type { Result } from '../../../src/base/common/resultCode.ts'
import type { KeyedLog } from '../../../src/ports/common/keyedLog.ts'
import type { Peers } from '../../../src/ports/common/peers.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { MemoryKeyedLog } from '../../support/memoryKeyedLog.ts'
import { RecordedLog } from '../../support/recordedLog.ts'

const records = [{ key: 'result/s/i/1', value: '{}' }, { key: 'end/s', value: '{}' }]

describe('AppendFailureLogger', () => {
  // Guards against appends that fail without a trace: a step was accepted and its end never confirmed, and no log line
  // showed whether an append was refused or unanswered, nor through which host it was sent.
  let clock: ManualClock
  let log: RecordedLog
  let answer: Result<number>
  let direct: KeyedLog
  let peers: Peers

  beforeEach(() => {
    clock = new ManualClock()
    log = new RecordedLog()
    const logger = new AppendFailureLogger({ clock, stateLog: log })
    const memory = new MemoryKeyedLog()
    direct = logger.wrapLog('t', { append: async () => { clock.freeze(30); return answer }, read: async (from) => await memory.read(from), readSome: async (from, kilobytes) => await memory.readSome(from, kilobytes), newest: async (after) => await memory.newest(after) })
    peers = logger.wrapPeers({ call: async (address) => (address === 'silent' ? failure('unknownOutcome', 'no answer') : success(answer)) as never })
  })

  it('logs topic, records, first key, route, code and time of a failed append, and nothing for a successful one', async () => {
    answer = success(1)
    await direct.append(records)
    answer = failure('commandUnknown', 'no answer')
    expect(await direct.append(records)).to.equal(answer)
    expect(log.lines).to.deep.equal([{ what: 'append not confirmed', details: { topic: 't', records: 2, key: 'result/s/i/1', way: 'direct', code: 'commandUnknown', tookMs: 30, failed: true, unwritten: 0 } }])
  })

  it('logs the address of the relaying host, and the code if that host did not answer', async () => {
    answer = failure('logUnavailable', 'refused')
    await peers.call('helper', 'store.append', { topic: 't', records }, 100)
    await peers.call('silent', 'store.append', { topic: 't', records }, 100)
    await peers.call('silent', 'store.newest', { topic: 't' }, 100)
    expect(log.detailsOf('append not confirmed').map(({ way, code }) => `${String(way)} ${String(code)}`)).to.deep.equal(['helper logUnavailable', 'silent unknownOutcome'])
  })

  it('logs refusals at most once per second and route, with the number of suppressed ones', async () => {
    answer = failure('logUnavailable', 'refused')
    for (let turn = 0; turn < 20; turn++) {
      await direct.append(records)
      clock.freeze(30)
    }
    expect(log.detailsOf('append not confirmed').map(({ unwritten }) => unwritten)).to.deep.equal([0, 16])
    answer = failure('commandUnknown', 'no answer')
    for (let turn = 0; turn < 3; turn++) await direct.append(records)
    expect(log.detailsOf('append not confirmed')).to.have.length(5)
  })
})
