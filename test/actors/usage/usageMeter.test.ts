import { expect } from 'chai'
import { UsageMeter } from '../../../src/actors/common/usage/usageMeter.ts'
import { asHostId, asWorkspaceName } from '../../../src/base/common/ids.ts'
import { UsageFold } from '../../../src/core/common/usage/usageFold.ts'
import { noopStateLog } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { MemoryKeyedLog } from '../../support/memoryKeyedLog.ts'

const acme = asWorkspaceName('acme')
const WINDOW_MS = 5000

function createFixture (hosts = 12): { clock: ManualClock, log: MemoryKeyedLog, meter: UsageMeter, total: (window: number) => number } {
  const clock = new ManualClock()
  const log = new MemoryKeyedLog()
  const meter = new UsageMeter({ log, clock, stateLog: noopStateLog, host: asHostId('machine/life'), hosts: () => hosts }, { windowMs: WINDOW_MS })
  const total = (window: number): number => {
    const fold = new UsageFold()
    fold.apply(log.entries)
    return fold.totalCounts(window).get(acme) ?? 0
  }
  return { clock, log, meter, total }
}

describe('UsageMeter', () => {
  it('counts a request in the window in which it started, and flushes within about a second', async () => {
    const { clock, meter, total } = createFixture()
    meter.recordStart(acme, 0)
    meter.recordStart(acme, WINDOW_MS)
    await clock.advance(1250)
    expect([total(199), total(200), meter.backlog]).to.deep.equal([1, 1, 0])
  })

  it('counts records only once if the answer of their append was lost or the append took effect late', async () => {
    const { clock, log, meter, total } = createFixture()
    log.loseAnswers = 1
    meter.recordStart(acme, 0)
    await clock.advance(1250)
    log.delayAppends = 1
    meter.recordStart(acme, 0)
    await clock.advance(5000)
    log.applyDelayedAppends()
    meter.recordStart(acme, WINDOW_MS)
    await clock.advance(1250)
    expect([total(200), meter.backlog]).to.deep.equal([3, 0])
  })

  it('keeps its counts while the store is unavailable', async () => {
    const { clock, log, meter, total } = createFixture()
    log.down = true
    for (let second = 0; second < 4; second++) {
      meter.recordStart(acme, 0)
      await clock.advance(1000)
    }
    log.down = false
    await clock.advance(1250)
    expect(total(200)).to.equal(4)
  })

  it('makes no appends while nothing runs, and fewer with many hosts', async () => {
    const { clock, log, meter } = createFixture(340)
    await clock.advance(10_000)
    expect(log.appends).to.equal(0)
    for (let moment = 0; moment < 100; moment++) {
      meter.recordStart(acme, 0)
      await clock.advance(100)
    }
    expect(log.appends).to.be.within(2, 4)
  })

  it('flushes without pauses when its host is about to exit, as a host that served until then would exit a second late', async () => {
    const { clock, meter, total } = createFixture()
    meter.recordStart(acme, 0)
    await clock.advance(250)
    meter.recordStart(acme, 0)
    meter.flushWithoutPauses()
    await clock.advance(1)
    expect(total(200)).to.equal(2)
    meter.recordStart(acme, 0)
    await clock.advance(250)
    expect([total(200), meter.backlog]).to.deep.equal([3, 0])
  })
})
