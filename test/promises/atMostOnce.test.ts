/** Promise: a request marked as non-idempotent runs at most once; what is refused as not run did not run. */

import { expect } from 'chai'
import type { Cluster, HostAnswer, HostProcess } from '../support/hostProcess.ts'
import { call, keys, waitUntil } from '../support/hostProcess.ts'
import type { Platform } from '../support/platform.ts'
import { startPlatform } from '../support/platform.ts'

interface Failure { readonly number: number, readonly code: string, readonly effect: string, readonly retry_after_ms?: number }

function errorOf (answer: HostAnswer): Failure {
  return answer.body.error as Failure
}

describe('at most once', function () {
  this.timeout(40_000)
  let platform: Platform
  let cluster: Cluster
  let next = 0

  before(async () => {
    platform = await startPlatform({ services: 2 })
    cluster = await platform.startCluster([{ name: 'abdali-1', place: 'Abdali' }, { name: 'marka-1', place: 'Marka' }, { name: 'marka-2', place: 'Marka' }], { log: { queue_wait: 800, timeout: 1500, long_poll: 500 } })
    await platform.configure(cluster)
  })

  afterEach(async () => {
    for (const { service } of platform.services) Object.assign(service.faults, { loseAnswers: 0, refuse: false, silent: false, delayMs: 2 })
    Object.assign(platform.log.log.faults, { down: false, silent: false, loseAnswers: 0, appendDelayMs: 0 })
    for (const host of cluster.hosts) host.wake()
    await waitUntil(async () => (await Promise.all(cluster.hosts.filter((host) => host.running).map(async (host) => (await host.health()).fresh === true))).every((fresh) => fresh), 10_000, 'all hosts are fresh again')
  })

  after(async () => {
    await cluster.stop()
    await platform.close()
  })

  function newId (): string {
    return `entry-${next++}`
  }

  async function once (host: HostProcess, id: string, options: { deadlineMs?: number, issuedAt?: number, key?: string, timeoutMs?: number } = {}): Promise<HostAnswer> {
    const { deadlineMs = 8000, issuedAt = Date.now(), key = keys.caller, timeoutMs = 15_000 } = options
    return await call(host.address, '/v1/lanes/bookings/services/ledger', {
      key, timeoutMs, method: 'POST', body: { flat: 12 }, headers: { 'x-request-id': id, 'x-issued-at': String(issuedAt), 'x-idempotent': 'false', 'x-deadline-ms': String(deadlineMs) }
    })
  }

  function ran (id: string): number {
    return platform.services.flatMap(({ service }) => service.ran).filter((run) => run.id === id).length
  }

  it('when the same id comes to all hosts at once', async () => {
    for (let round = 0; round < 10; round++) {
      const id = newId()
      const answers = await Promise.all(cluster.hosts.flatMap((host) => [once(host, id), once(host, id)]))
      expect(ran(id)).to.equal(1)
      expect(answers.filter(({ status }) => status === 200)).to.have.length.at.least(1)
      for (const answer of answers.filter(({ status }) => status !== 200)) expect(errorOf(answer).code).to.be.oneOf(['inProgress', 'repeatLater'])
    }
  })

  /*
   * Symptom: a ledger entry stands twice.
   * Sequence: the service runs the call, its answer is lost, the caller repeats for a while.
   * Cause: a lost answer looks like a call that never arrived.
   */
  it('when the answer of the target is lost and the caller repeats', async () => {
    const id = newId()
    for (const { service } of platform.services) service.faults.loseAnswers = 1
    expect(errorOf(await once(cluster.host(0), id)).number).to.equal(2001)
    for (const host of [...cluster.hosts, ...cluster.hosts]) {
      const error = errorOf(await once(host, id))
      expect(error.effect).to.equal('unknown-outcome')
    }
    expect(ran(id)).to.equal(1)
  })

  /*
   * Symptom: a transmittal is sent twice after a host was killed.
   * Sequence: the host that holds the claim is killed while the call runs; the caller repeats elsewhere.
   * Cause: a claim whose holder is gone must not be taken over, as the call may have run.
   */
  it('when the host that holds the claim is killed while the call runs', async () => {
    const id = newId()
    for (const { service } of platform.services) service.faults.delayMs = 1500
    const broken = once(cluster.host(2), id).catch(() => 'cut')
    await waitUntil(() => ran(id) === 1, 3000, 'the call runs')
    await cluster.host(2).kill()
    expect(await broken).to.equal('cut')
    await waitUntil(async () => errorOf(await once(cluster.host(0), id)).code === 'unknownOutcome', 8000, 'the outcome is known to be unknown')
    expect(ran(id)).to.equal(1)
    cluster.host(2).start()
  })

  /*
   * Symptom: a call runs again when its host wakes up.
   * Sequence: the host is frozen while it makes its claim; the caller repeats elsewhere for seconds;
   * the host wakes.
   * Cause: whatever the sleeper checked before it slept is no longer true.
   */
  it('when the claiming host is frozen and woken', async () => {
    for (let round = 0; round < 4; round++) {
      const id = newId()
      platform.log.log.faults.appendDelayMs = 40
      const sleeper = once(cluster.host(0), id, { deadlineMs: 2000 }).catch(() => undefined)
      await new Promise((resolve) => setTimeout(resolve, 15 + 15 * round))
      cluster.host(0).freeze()
      platform.log.log.faults.appendDelayMs = 0
      const repeats: string[] = []
      const until = Date.now() + 2500
      while (Date.now() < until) {
        const answer = await once(cluster.host(1), id, { deadlineMs: 1000 })
        repeats.push(answer.status === 200 ? 'answered' : errorOf(answer).code)
        await new Promise((resolve) => setTimeout(resolve, 100))
      }
      cluster.host(0).wake()
      await sleeper
      await new Promise((resolve) => setTimeout(resolve, 300))
      expect(ran(id), repeats.join(' ')).to.be.at.most(1)
      await waitUntil(async () => (await cluster.host(0).health()).fresh === true, 5000, 'the sleeper is fresh')
    }
  })

  it('when the log is down: refused as not run, at once', async () => {
    platform.log.log.faults.down = true
    await waitUntil(async () => errorOf(await once(cluster.host(0), newId())).code === 'logUnavailable', 6000, 'the outage is noticed')
    const id = newId()
    const began = Date.now()
    const answer = await once(cluster.host(0), id)
    expect(Date.now() - began).to.be.below(500)
    expect(errorOf(answer)).to.include({ number: 1005, effect: 'not-run' })
    expect(errorOf(answer).retry_after_ms).to.be.greaterThan(0)
    platform.log.log.faults.down = false
    await waitUntil(async () => (await once(cluster.host(1), id)).status === 200, 8000, 'the repeat runs')
    expect(ran(id)).to.equal(1)
  })

  it('when the log is silent: refused as not run, at once after that is noticed', async () => {
    platform.log.log.faults.silent = true
    await new Promise((resolve) => setTimeout(resolve, 2600))
    const id = newId()
    const began = Date.now()
    expect(errorOf(await once(cluster.host(0), id))).to.include({ number: 1005, effect: 'not-run' })
    expect(Date.now() - began).to.be.below(400)
    expect(ran(id)).to.equal(0)
  })

  /*
   * Symptom: a request refused as not run has run.
   * Sequence: the log takes the claim, loses the answer and is then silent past the deadline.
   * Cause: the author gives up, and must never dispatch when the claim is read back later.
   */
  it('when the claim lands after its author gave up', async () => {
    await waitUntil(async () => (await once(cluster.host(0), newId())).status === 200, 8000, 'the log takes claims')
    const id = newId()
    platform.log.log.faults.appendDelayMs = 1200
    const answer = await once(cluster.host(0), id, { deadlineMs: 6000 })
    expect(errorOf(answer)).to.include({ code: 'logUnavailable', effect: 'not-run' })
    expect(ran(id)).to.equal(0)
    platform.log.log.faults.appendDelayMs = 0
    await new Promise((resolve) => setTimeout(resolve, 1500))
    expect(ran(id)).to.equal(0)
    await waitUntil(async () => (await once(cluster.host(1), id)).status === 200, 8000, 'the repeat runs')
    expect(ran(id)).to.equal(1)
  })

  it('keeps the ids of two callers apart', async () => {
    const id = newId()
    const [mine, theirs] = await Promise.all([once(cluster.host(0), id), once(cluster.host(1), id, { key: keys.stranger })])
    expect([mine.status, theirs.status]).to.deep.equal([200, 200])
    expect(ran(id)).to.equal(2)
  })

  it('refuses an id that is older than the claim window', async () => {
    const id = newId()
    const answer = await once(cluster.host(0), id, { issuedAt: Date.now() - 11 * 60_000 })
    expect(errorOf(answer)).to.include({ number: 2002, effect: 'unknown-outcome' })
    expect(ran(id)).to.equal(0)
  })

  describe('not run is true', () => {
    const refusals: readonly { name: string, code: string, arrange: () => void | Promise<void>, undo?: () => void | Promise<void>, deadlineMs?: number }[] = [
      { name: 'the target refuses before running', code: 'targetRefused', arrange: () => { for (const { service } of platform.services) service.faults.refuse = true } },
      { name: 'nothing listens at the target', code: 'targetUnreachable', arrange: async () => { await point('http://127.0.0.1:1') }, undo: restoreTargets },
      { name: 'all targets are drained', code: 'noTarget', arrange: async () => { await cluster.order('drain target viewings-0', 'drain target viewings-1') }, undo: async () => { await cluster.order('restore target viewings-0', 'restore target viewings-1') } },
      { name: 'the log is down', code: 'logUnavailable', arrange: async () => { platform.log.log.faults.down = true; await waitUntil(async () => errorOf(await once(cluster.host(0), newId())).code === 'logUnavailable', 5000, 'outage') } }
    ]

    async function point (address: string): Promise<void> {
      await cluster.order(`set target viewings-0 address "${address}"`, `set target viewings-1 address "${address}"`)
    }

    async function restoreTargets (): Promise<void> {
      await cluster.order(...platform.services.map(({ address }, index) => `set target viewings-${index} address "${address}"`))
      await waitUntil(async () => (await once(cluster.host(0), newId())).status === 200, 8000, 'targets are back')
    }

    for (const { name, code, arrange, undo } of refusals) {
      it(`when ${name}`, async () => {
        const id = newId()
        await arrange()
        const answer = await once(cluster.host(0), id)
        expect(errorOf(answer)).to.include({ code, effect: 'not-run' })
        expect(errorOf(answer).retry_after_ms).to.be.greaterThan(0)
        expect(ran(id)).to.equal(0)
        await undo?.()
      })
    }

    it('is not said when the target went silent after it was sent the call', async () => {
      const id = newId()
      for (const { service } of platform.services) service.faults.silent = true
      const answer = await once(cluster.host(0), id, { deadlineMs: 700 })
      expect(errorOf(answer).effect).to.equal('unknown-outcome')
    })

    it('is not said when the target cuts the connection after it was sent the call', async () => {
      const id = newId()
      for (const { service } of platform.services) service.faults.loseAnswers = 1
      expect(errorOf(await once(cluster.host(1), id)).effect).to.equal('unknown-outcome')
    })
  })
})
