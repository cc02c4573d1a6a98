import { expect } from 'chai'
import { UsageMeter } from '../../../src/actors/common/usage/usageMeter.ts'
import { asHostId, asWorkspaceName } from '../../../src/base/common/ids.ts'
import { UsageFold } from '../../../src/core/common/usage/usageFold.ts'
import { quietLog } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { MemoryKeyedLog } from '../../support/memoryKeyedLog.ts'

const acme = asWorkspaceName('acme')
const WINDOW_MS = 5000

function scene (hosts = 12): { clock: ManualClock, log: MemoryKeyedLog, meter: UsageMeter, total: (window: number) => number } {
  const clock = new ManualClock()
  const log = new MemoryKeyedLog()
  const meter = new UsageMeter({ log, clock, stateLog: quietLog, host: asHostId('machine/life'), hosts: () => hosts }, { windowMs: WINDOW_MS })
  const total = (window: number): number => {
    const fold = new UsageFold()
    fold.apply(log.entries)
    return fold.totalCounts(window).get(acme) ?? 0
  }
  return { clock, log, meter, total }
}

describe('the meter of usage', () => {
  it('counts a request in the window in which it began, and hands in within a second or so', async () => {
    const { clock, meter, total } = scene()
    meter.began(acme, 0)
    meter.began(acme, WINDOW_MS)
    await clock.advance(1250)
    expect([total(199), total(200), meter.backlog]).to.deep.equal([1, 1, 0])
  })

  it('hands in once what the store has though its answer was lost, and what it took late', async () => {
    const { clock, log, meter, total } = scene()
    log.loseAnswers = 1
    meter.began(acme, 0)
    await clock.advance(1250)
    log.delayAppends = 1
    meter.began(acme, 0)
    await clock.advance(5000)
    log.land()
    meter.began(acme, WINDOW_MS)
    await clock.advance(1250)
    expect([total(200), meter.backlog]).to.deep.equal([3, 0])
  })

  it('keeps what it counted while the store is away', async () => {
    const { clock, log, meter, total } = scene()
    log.down = true
    for (let second = 0; second < 4; second++) {
      meter.began(acme, 0)
      await clock.advance(1000)
    }
    log.down = false
    await clock.advance(1250)
    expect(total(200)).to.equal(4)
  })

  it('asks the store for nothing while nothing runs, and less often where there are many hosts', async () => {
    const { clock, log, meter } = scene(340)
    await clock.advance(10_000)
    expect(log.appends).to.equal(0)
    for (let moment = 0; moment < 100; moment++) {
      meter.began(acme, 0)
      await clock.advance(100)
    }
    expect(log.appends).to.be.within(2, 4)
  })

  it('hands in without pauses when its host is about to exit: a host that serves until then ended a second later than it had to', async () => {
    const { clock, meter, total } = scene()
    meter.began(acme, 0)
    await clock.advance(250)
    meter.began(acme, 0)
    meter.leave()
    await clock.advance(1)
    expect(total(200)).to.equal(2)
    meter.began(acme, 0)
    await clock.advance(250)
    expect([total(200), meter.backlog]).to.deep.equal([3, 0])
  })
})
