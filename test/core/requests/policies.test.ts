/** Small policies: retries and their budget, freshness, homes, and rollout planning. */

import { expect } from 'chai'
import { asHostId, asFailureDomain } from '../../../src/base/common/ids.ts'
import type { ResultCode } from '../../../src/base/common/resultCode.ts'
import { failure } from '../../../src/base/common/resultCode.ts'
import { FreshnessTracker } from '../../../src/core/common/fold/freshness.ts'
import { emptySubscription } from '../../../src/core/common/fold/subscriptions.ts'
import type { SubscriptionState } from '../../../src/core/common/fold/subscriptions.ts'
import { RetryBudget } from '../../../src/core/common/requests/retryBudget.ts'
import { mayRetry, jitterRetryAfter } from '../../../src/core/common/requests/retryPolicy.ts'
import { findHome } from '../../../src/core/common/routing/rendezvous.ts'
import { RolloutProgress } from '../../../src/core/common/samples/rollout.ts'
import { planRollouts } from '../../../src/core/common/samples/rolloutPlan.ts'
import { createHash } from '../../../src/adapters/node/xxHash.ts'
import { newSeededChance } from '../../support/manualClock.ts'

describe('retries', () => {
  const cases: readonly { code: ResultCode, idempotent: boolean, attempts?: number, remainingMs?: number, retried: boolean }[] = [
    { code: 'targetRefused', idempotent: false, retried: true },
    { code: 'targetUnreachable', idempotent: false, retried: true },
    { code: 'unknownOutcome', idempotent: false, retried: false },
    { code: 'unknownOutcome', idempotent: true, retried: true },
    { code: 'overloaded', idempotent: true, retried: false },
    { code: 'callerLimit', idempotent: true, retried: false },
    { code: 'unknownOutcome', idempotent: true, attempts: 4, retried: false },
    { code: 'targetRefused', idempotent: true, remainingMs: 5, retried: false }
  ]
  for (const { code, idempotent, attempts = 1, remainingMs = 1000, retried } of cases) {
    it(`${retried ? 'follow' : 'do not follow'} ${code}, idempotent ${String(idempotent)}, attempt ${attempts}, ${remainingMs} ms left`, () => {
      expect(mayRetry({ reason: failure(code, ''), idempotent, attempts, remainingMs })).to.equal(retried)
    })
  }

  // Failure: an overload continues after its cause has ended. Every failed request is retried and fails again, because
  // retries are not limited by anything that shrinks when all attempts fail.
  it('stop when no attempt succeeds any more', () => {
    const budget = new RetryBudget({ ratio: 0.1, maximum: 5 })
    expect(Array.from({ length: 8 }, () => budget.tryAcquire())).to.deep.equal([true, true, true, true, true, false, false, false])
    for (let success = 0; success < 9; success++) budget.recordSuccess()
    expect(budget.tryAcquire()).to.equal(false)
    budget.recordSuccess()
    budget.recordSuccess()
    expect(budget.tryAcquire()).to.equal(true)
  })

  it('are requested with jitter', () => {
    const chance = newSeededChance(1)
    const times = new Set(Array.from({ length: 20 }, () => jitterRetryAfter(1000, chance)))
    expect(times.size).to.be.greaterThan(15)
    expect(Math.min(...times)).to.be.at.least(1000)
    expect(Math.max(...times)).to.be.at.most(1500)
  })
})

describe('freshness', () => {
  const fresh = (): FreshnessTracker => new FreshnessTracker({ maxAgeMs: 1000, tickIntervalMs: 100 }, 0)

  it('ends when there was no contact within the bound', () => {
    const state = fresh()
    state.recordContact(0)
    state.tick(500)
    expect(state.isFresh(1000)).to.equal(true)
    state.tick(1000)
    expect(state.isFresh(1001)).to.equal(false)
  })

  // Failure: a host that wakes from a freeze serves an outdated configuration. It queries the log, is frozen, wakes up and
  // finds the old answer in its socket, which it dates by the time at which it is handled.
  it('is not restored by an answer to a query sent before a freeze', () => {
    const state = fresh()
    state.recordContact(0)
    expect(state.isFresh(700)).to.equal(false)
    expect(state.tick(700)).to.equal(true)
    state.recordContact(90)
    expect(state.isFresh(700)).to.equal(false)
    state.recordContact(701)
    expect(state.isFresh(702)).to.equal(true)
  })
})

describe('homes', () => {
  it('move only from a host that leaves, and stay in their failure domain while it has hosts', async () => {
    const hash = await createHash()
    const hosts = Array.from({ length: 12 }, (_, index) => ({ host: asHostId(`host-${index}`), place: asFailureDomain(`place-${index % 3}`) }))
    const keys = Array.from({ length: 300 }, (_, index) => `key-${index}`)
    const gone = hosts[4]
    for (const key of keys) {
      const before = findHome(hash, key, hosts)
      const after = findHome(hash, key, hosts.filter((host) => host !== gone))
      if (before !== gone) expect(after).to.equal(before)
      expect(findHome(hash, key, hosts, asFailureDomain('place-1'))?.place).to.equal('place-1')
    }
    const loads = hosts.map((host) => keys.filter((key) => findHome(hash, key, hosts) === host).length)
    expect(Math.max(...loads)).to.be.below(50)
  })
})

describe('rollout planning', () => {
  function stateOf (groups: Record<string, number>): SubscriptionState {
    const state = emptySubscription()
    for (const [name, samples] of Object.entries(groups)) {
      state.groups[name] = { step: 0, digest: '', issuedAt: 0, prompt: { offset: 0, item: 0 }, refreshedAt: 0, slots: Array.from({ length: samples }, () => null) }
    }
    return state
  }
  const limits = { ahead: 4, parallel: 10, stragglerFactor: 2 }

  it('plans whole groups up to the limit of the subscription', () => {
    expect(planRollouts(stateOf({ a: 2, b: 2, c: 2 }), [], limits, 0).map(({ group }) => group)).to.deep.equal(['a', 'a', 'b', 'b'])
  })

  it('starts a group that alone exceeds the limit', () => {
    expect(planRollouts(stateOf({ a: 6 }), [], limits, 0)).to.have.length(6)
  })

  it('starts one second attempt for a straggler', () => {
    const running = [{ group: 'a', index: 0, since: 0 }]
    const late = { ...limits, medianMs: 100 }
    expect(planRollouts(stateOf({ a: 1 }), running, late, 199)).to.deep.equal([])
    expect(planRollouts(stateOf({ a: 1 }), running, late, 200)).to.deep.equal([{ group: 'a', index: 0, straggler: true }])
    expect(planRollouts(stateOf({ a: 1 }), [...running, { group: 'a', index: 0, since: 150 }], late, 400)).to.deep.equal([])
  })

  it('respects the limit of parallel rollouts', () => {
    expect(planRollouts(stateOf({ a: 4 }), [{ group: 'a', index: 0, since: 0 }], { ...limits, parallel: 3 }, 0)).to.have.length(2)
  })
})

describe('the progress of a rollout', () => {
  it('records consecutive tokens of a version as segments, across streams and engines', () => {
    const progress = new RolloutProgress()
    for (const [text, tokens, version] of [['a', 1, 3], ['bc', 2, 3], ['d', 1, 4], ['', 0, 5], ['e', 1, 3]] as const) progress.add({ text, tokens, version })
    expect(progress.text).to.equal('abcde')
    expect(progress.segments).to.deep.equal([{ version: 3, from: 0, to: 3 }, { version: 4, from: 3, to: 4 }, { version: 3, from: 4, to: 5 }])
    expect(progress.oldestVersion).to.equal(3)
  })
})
