/** Usage reports by changing duty holders, over a store and a platform interface that fail. `CASES=3000 SEED=1` runs more random sequences. */

import { expect } from 'chai'
import { UsageReporter } from '../../../src/actors/common/usage/usageReporter.ts'
import { asWorkspaceName } from '../../../src/base/common/ids.ts'
import type { Event } from '../../../src/base/common/lifecycle.ts'
import { Emitter } from '../../../src/base/common/lifecycle.ts'
import type { SealedWindow } from '../../../src/core/common/usage/usageFold.ts'
import { countsRecord } from '../../../src/core/common/usage/usageRecords.ts'
import type { RandomSource } from '../../../src/ports/common/clock.ts'
import type { DutyHolder, DutyVerdict } from '../../../src/ports/common/platformDuties.ts'
import { noopStateLog } from '../../support/fakeHost.ts'
import { ManualClock, newSeededChance } from '../../support/manualClock.ts'
import { MemoryKeyedLog } from '../../support/memoryKeyedLog.ts'

const times = { windowMs: 5000, dueMs: 10_000 }
const acme = asWorkspaceName('acme')

/** A platform interface that records the reports that it receives, and answers as configured. */
class FakePlatform {
  readonly reports: { readonly window: number, readonly counts: string, readonly holder: DutyHolder }[] = []
  answer: () => DutyVerdict | 'lost' = () => 'accepted'

  async reportUsage ({ window, counts }: SealedWindow, holder: DutyHolder): Promise<DutyVerdict> {
    const answer = this.answer()
    if (answer !== 'accepted' && answer !== 'lost') return answer
    this.reports.push({ window, counts: JSON.stringify([...counts]), holder })
    return answer === 'lost' ? 'no-answer' : answer
  }

  /** Windows with reports that differ from the first one. */
  get conflictingWindows (): number[] {
    const first = new Map<number, string>()
    return this.reports.filter(({ window, counts }) => {
      const known = first.get(window) ?? counts
      first.set(window, known)
      return known !== counts
    }).map(({ window }) => window)
  }
}

class Duty {
  private readonly changes = new Emitter<void>()
  readonly onChange: Event<void> = this.changes.event
  holds = false
  term = 0

  get alone (): boolean {
    return this.holds
  }

  set (holds: boolean, term: number): void {
    this.holds = holds
    this.term = term
    this.changes.fire()
  }
}

interface Member {
  readonly duty: Duty
  readonly reporter: UsageReporter
}

class Scene {
  readonly clock = new ManualClock()
  readonly log = new MemoryKeyedLog()
  readonly platform = new FakePlatform()
  private term = 0
  private sequence = 0

  constructor (private readonly chance: RandomSource = newSeededChance(1)) {}

  join (machine: string, skewMs = 0): Member {
    const duty = new Duty()
    const clock = { monotonic: () => this.clock.monotonic(), wall: () => this.clock.wall() + skewMs, after: this.clock.after.bind(this.clock), every: this.clock.every.bind(this.clock) }
    const reporter = new UsageReporter({ duty, log: this.log, duties: this.platform, clock, chance: this.chance, stateLog: noopStateLog, machine }, times)
    return { duty, reporter }
  }

  acquireDuty ({ duty }: Member): void {
    duty.set(true, ++this.term)
  }

  releaseDuty ({ duty }: Member): void {
    duty.set(false, duty.term)
  }

  count (requests: number, window = Math.floor(this.clock.wall() / times.windowMs)): void {
    this.log.write([countsRecord(window, new Map([[acme, requests]]), 'h', this.sequence++)])
  }
}

describe('usage reports', () => {
  it('are sent in time, once for each window, and leave no records behind', async () => {
    const scene = new Scene()
    const member = scene.join('m')
    scene.acquireDuty(member)
    for (let window = 0; window < 4; window++) {
      scene.count(window + 1)
      await scene.clock.advance(5000)
    }
    await scene.clock.advance(10_000)
    expect(scene.platform.reports.slice(0, 4).map(({ window, counts }) => `${window} ${counts}`)).toMatchSnapshot()
    expect(scene.log.newestEntries().map(({ key }) => key)).to.deep.equal([`reported/${member.reporter.reportedThrough ?? 0}`])
    expect(member.reporter.reportedThrough).to.equal(scene.platform.reports.at(-1)?.window)
  })

  it('are unchanged after a takeover between a send and its answer, though more was counted in between', async () => {
    const scene = new Scene()
    const [former, present] = [scene.join('m1'), scene.join('m2')]
    scene.acquireDuty(former)
    scene.count(3)
    scene.platform.answer = () => 'lost'
    await scene.clock.advance(10_100)
    expect(scene.platform.reports).to.have.length.above(0)
    scene.releaseDuty(former)
    scene.count(2, 200)
    scene.platform.answer = () => 'accepted'
    scene.acquireDuty(present)
    await scene.clock.advance(5000)
    expect(scene.platform.reports.filter(({ window }) => window === 200).map(({ counts }) => counts)).to.satisfy((all: string[]) => all.length > 1 && new Set(all).size === 1)
    expect(scene.platform.conflictingWindows).to.deep.equal([])
  })

  it('are sent late after an outage of the interface or the store, with growing pauses', async () => {
    const scene = new Scene()
    const member = scene.join('m')
    scene.acquireDuty(member)
    scene.count(1)
    let calls = 0
    scene.platform.answer = () => {
      calls++
      return 'later'
    }
    await scene.clock.advance(40_000)
    expect(calls).to.be.within(5, 20)
    scene.platform.answer = () => 'accepted'
    scene.log.down = true
    await scene.clock.advance(10_000)
    scene.log.down = false
    await scene.clock.advance(10_000)
    const windows = scene.platform.reports.map(({ window }) => window)
    expect(windows).to.deep.equal(windows.map((_, index) => 200 + index)).and.to.have.length.above(7)
  })

  it('are not blocked by one that the platform rejects', async () => {
    const scene = new Scene()
    scene.acquireDuty(scene.join('m'))
    let first = true
    scene.platform.answer = () => {
      if (!first) return 'accepted'
      first = false
      return 'rejected'
    }
    await scene.clock.advance(30_000)
    expect(scene.platform.reports[0]?.window).to.equal(201)
  })

  it('are not sent again after the record of an earlier report took effect late and replaced the newer one for hosts that reload the topic', async () => {
    const scene = new Scene()
    const [former, present] = [scene.join('m1'), scene.join('m2')]
    scene.acquireDuty(former)
    scene.count(3)
    scene.platform.answer = () => {
      // The next append is the record of the last reported window.
      scene.log.delayAppends = 1
      return 'accepted'
    }
    await scene.clock.advance(10_100)
    scene.releaseDuty(former)
    scene.platform.answer = () => 'accepted'
    scene.acquireDuty(present)
    scene.count(4)
    await scene.clock.advance(15_000)
    scene.log.applyDelayedAppends()
    const reloadingMember = scene.join('m3')
    scene.log.first = scene.log.entries.length
    scene.releaseDuty(present)
    scene.acquireDuty(reloadingMember)
    await scene.clock.advance(15_000)
    expect(scene.platform.conflictingWindows).to.deep.equal([])
  })

  it('never differ for one window, under random faults of holders, clocks, store and interface', async function () {
    this.timeout(600_000)
    const cases = Number(process.env['CASES'] ?? 60)
    const from = Number(process.env['SEED'] ?? 1)
    for (let seed = from; seed < from + cases; seed++) {
      const chance = newSeededChance(seed)
      const scene = new Scene(chance)
      const draw = (below: number): number => Math.floor(chance.next() * below)
      let members = [0, 1, 2].map((index) => scene.join(`m${index}`, draw(4000) - 2000))
      const pick = (): Member => members[draw(members.length)] as Member
      scene.platform.answer = () => (['accepted', 'accepted', 'lost', 'later', 'no-answer'] as const)[draw(5)] ?? 'accepted'
      for (let moment = 0; moment < 80; moment++) {
        switch (draw(9)) {
          // Two members may hold the duty at once, and then the seal alone must keep their reports identical.
          case 0: scene.acquireDuty(pick()); break
          case 1: scene.releaseDuty(pick()); break
          case 2: scene.count(1 + draw(5)); break
          case 3: scene.count(1 + draw(5), Math.floor(scene.clock.wall() / times.windowMs) - draw(4)); break
          case 4: scene.log.down = draw(3) === 0; break
          case 5: scene.log.loseAnswers = draw(3); break
          case 6: scene.log.delayAppends = draw(2); break
          case 7: scene.log.applyDelayedAppends(); break
          case 8: {
            const ended = pick()
            scene.releaseDuty(ended)
            ended.reporter.dispose()
            members = [...members.filter((member) => member !== ended), scene.join(`n${moment}`, draw(4000) - 2000)]
            if (draw(2) === 0) scene.log.first = scene.log.entries.length
          }
        }
        await scene.clock.advance(100 + draw(1500))
      }
      scene.log.applyDelayedAppends()
      expect({ seed, doubles: scene.platform.conflictingWindows }).to.deep.equal({ seed, doubles: [] })
      for (const { reporter } of members) reporter.dispose()
    }
  })
})
