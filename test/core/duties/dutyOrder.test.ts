/** Which hosts should hold a duty, and that claims of hundreds of hosts do not coincide. */

import { expect } from 'chai'
import { createHash } from '../../../src/adapters/node/xxHash.ts'
import { asHostId, asFailureDomain } from '../../../src/base/common/ids.ts'
import type { Hash } from '../../../src/ports/common/hash.ts'
import type { DutyHost, HostRanking } from '../../../src/core/common/duties/dutyOrder.ts'
import { CANDIDATE_COUNT, claimDelayMs, rankHostsForDuty, isCandidate } from '../../../src/core/common/duties/dutyOrder.ts'
import { operatorPace, stepsPace, targetsPace } from '../../../src/core/common/steps/followPace.ts'
import { newSeededChance } from '../../support/manualClock.ts'

const SIZES = [12, 60, 195, 340]
/** A quarter of the hosts is large; the hosts are spread over five failure domains. */
const hostsOf = (count: number, incarnation = 'a'): DutyHost[] => Array.from({ length: count }, (_, index) => ({ host: asHostId(`host-${index}/${incarnation}`), place: asFailureDomain(`place-${index % 5}`), processor: index % 4 === 0 ? 1.35 : 0.324 }))

describe('the ranking of hosts for a duty', () => {
  let hash: Hash
  before(async () => { hash = await createHash() })

  it('starts with large hosts of different failure domains, regardless of the order of the members', () => {
    for (const count of SIZES) {
      const order = rankHostsForDuty(hash, 'steps', hostsOf(count))
      const large = order.filter(({ processor }) => processor === 1.35).length
      const first = order.slice(0, Math.min(CANDIDATE_COUNT, large))
      expect(first.map(({ processor }) => processor), `${count} hosts`).to.deep.equal(first.map(() => 1.35))
      expect(new Set(first.map(({ place }) => place)).size).to.equal(first.length)
      expect(rankHostsForDuty(hash, 'steps', hostsOf(count).reverse())).to.deep.equal(order)
    }
  })

  it('is the same after all hosts restart and differs between duties', () => {
    const machines = (list: readonly DutyHost[]): string[] => list.map(({ host }) => host.split('/')[0] ?? '')
    expect(machines(rankHostsForDuty(hash, 'steps', hostsOf(195, 'b')))).to.deep.equal(machines(rankHostsForDuty(hash, 'steps', hostsOf(195))))
    expect(machines(rankHostsForDuty(hash, 'other', hostsOf(195)))).to.not.deep.equal(machines(rankHostsForDuty(hash, 'steps', hostsOf(195))))
  })

  it('keeps the next hosts in front when the first one is gone', () => {
    const order = rankHostsForDuty(hash, 'steps', hostsOf(60))
    const [gone, ...rest] = order
    const after = rankHostsForDuty(hash, 'steps', hostsOf(60).filter(({ host }) => host !== gone?.host))
    expect(after.slice(0, CANDIDATE_COUNT).map(({ host }) => host)).to.include.members(rest.slice(0, CANDIDATE_COUNT - 1).map(({ host }) => host))
  })
})

describe('claims of a duty without a holder', () => {
  /** Time within which a claim is written and read back by the other hosts. */
  const READ_BACK_MS = 25

  /** Returns the number of claims made before the first is read back. */
  function concurrentClaims (rankings: readonly HostRanking[], seed: number): number {
    const chance = newSeededChance(seed)
    const waits = rankings.map((ranking) => claimDelayMs(ranking, chance.next()))
    const first = Math.min(...waits)
    return waits.filter((wait) => wait < first + READ_BACK_MS).length
  }
  const ranking = (rank: number, hosts: number, converged: boolean): HostRanking => ({ rank, hosts, converged, small: rank >= hosts / 4 })
  const rankings = (hosts: number, converged: boolean, lost = 0): HostRanking[] => Array.from({ length: hosts }, (_, rank) => ranking(rank, hosts, converged)).slice(lost)

  it('are limited to one among hosts that know each other', () => {
    // Failure: at the first start of 195 hosts, 40 of them claimed the duty within 12 ms, and each read what it would need
    // as its holder.
    for (const hosts of SIZES) expect(concurrentClaims(rankings(hosts, true), hosts), `${hosts} hosts`).to.equal(1)
  })

  it('are few if no host knows the others yet', () => {
    for (const hosts of SIZES) {
      const mean = Array.from({ length: 50 }, (_, seed) => concurrentClaims(rankings(hosts, false), seed + 1)).reduce((sum, claims) => sum + claims, 0) / 50
      expect(mean, `${hosts} hosts`).to.be.at.most(4)
    }
  })

  it('are few if all candidates are lost at once, and come within 2 s', () => {
    for (const hosts of SIZES) {
      const left = rankings(hosts, true, CANDIDATE_COUNT)
      const mean = Array.from({ length: 50 }, (_, seed) => concurrentClaims(left, seed + 1)).reduce((sum, claims) => sum + claims, 0) / 50
      expect(mean, `${hosts} hosts`).to.be.at.most(6)
      expect(Math.min(...left.map((own) => claimDelayMs(own, 0.9)))).to.be.at.most(900 + 0.9 * 8 * hosts)
      expect(Math.min(...left.map((own) => claimDelayMs(own, 0.05)))).to.be.at.most(1100)
    }
  })

  it('leave checks of a slow holder to the candidates', () => {
    for (const hosts of SIZES) expect(rankings(hosts, true).filter(isCandidate).length).to.equal(CANDIDATE_COUNT)
  })
})

describe('the pace at which topics are followed', () => {
  const close = { waitMs: 1000, pauseMs: 200 }
  const own = (hosts: number, rank: number, converged = true): HostRanking => ({ rank, hosts, converged, small: false })

  it('is the same for a host among 30 and among 300, and slower than on a host that follows closely', () => {
    for (const hosts of [30, 90, 300]) {
      expect(stepsPace(own(hosts, 20), close)).to.deep.equal({ type: 'at-intervals', waitMs: 1000, intervalMs: 900 })
      expect(targetsPace(own(hosts, 20), false, { ...close, pauseMs: 500 })).to.deep.equal({ type: 'at-intervals', waitMs: 1000, intervalMs: 1500 })
      expect(operatorPace(own(hosts, 20), false, { ...close, pauseMs: 0 })).to.deep.equal({ type: 'long-polls', waitMs: 2000, pauseMs: 0 })
    }
  })

  it('is close on candidates, on hosts that have just started, on active hosts, and in small deployments', () => {
    const closely = { type: 'long-polls', ...close }
    for (const ranking of [own(300, 4), own(300, 20, false), own(12, 11)]) {
      expect(stepsPace(ranking, close)).to.deep.equal(closely)
      expect(targetsPace(ranking, false, close)).to.deep.equal(closely)
      expect(operatorPace(ranking, false, close)).to.deep.equal(closely)
    }
    expect(targetsPace(own(300, 20), true, close)).to.deep.equal(closely)
    expect(operatorPace(own(300, 20), true, close)).to.deep.equal(closely)
  })

  it('keeps a host less than a second behind the steps', () => {
    for (const hosts of SIZES) {
      const pace = stepsPace(own(hosts, hosts - 1), close)
      expect(pace.type === 'at-intervals' ? pace.intervalMs : pace.pauseMs).to.be.lessThan(1000)
    }
  })

  it('leaves a margin before a host that is not a candidate claims the duty', () => {
    // Guards against claims of hosts that have merely not read the renewals of a live holder yet.
    const LEASE_MS = 1200
    const pace = stepsPace(own(300, 20), close)
    expect(pace.type === 'at-intervals' ? pace.intervalMs : 0).to.be.lessThan((LEASE_MS + claimDelayMs(own(300, 20), 0)) / 2)
  })
})
