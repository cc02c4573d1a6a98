/** Tests the guarantees that a request marked as non-idempotent runs at most once and that a request refused as not run has not run. */

import { expect } from 'chai'
import type { Cluster, HostAnswer, HostProcess } from '../support/hostProcess.ts'
import { call, keys, waitUntil } from '../support/hostProcess.ts'
import type { TestPlatform } from '../support/platform.ts'
import { startTestPlatform } from '../support/platform.ts'

interface ErrorBody { readonly number: number, readonly code: string, readonly effect: string, readonly retry_after_ms?: number }

function errorOf (answer: HostAnswer): ErrorBody {
  return answer.body.error as ErrorBody
}

describe('at most once', function () {
  this.timeout(40_000)
  let platform: TestPlatform
  let cluster: Cluster
  let next = 0

  before(async () => {
    platform = await startTestPlatform({ services: 2 })
    cluster = await platform.startCluster([{ name: 'abdali-1', place: 'Abdali' }, { name: 'marka-1', place: 'Marka' }, { name: 'marka-2', place: 'Marka' }], { log: { queue_wait: 800, timeout: 1500, long_poll: 500 } })
    await platform.configure(cluster)
  })

  afterEach(async () => {
    for (const { service } of platform.services) Object.assign(service.faults, { loseAnswers: 0, refuse: false, silent: false, delayMs: 2 })
    Object.assign(platform.log.log.faults, { down: false, silent: false, loseAnswers: 0, appendDelayMs: 0 })
    for (const host of cluster.hosts) host.resume()
    await waitUntil(async () => (await Promise.all(cluster.hosts.filter((host) => host.isRunning).map(async (host) => (await host.health()).fresh === true))).every((fresh) => fresh), 10_000, 'all hosts are fresh again')
  })

  after(async () => {
    await cluster.stop()
    await platform.close()
  })

  function newId (): string {
    return `entry-${next++}`
  }

  async function callOnce (host: HostProcess, id: string, options: { deadlineMs?: number, issuedAt?: number, key?: string, timeoutMs?: number } = {}): Promise<HostAnswer> {
    const { deadlineMs = 8000, issuedAt = Date.now(), key = keys.caller, timeoutMs = 15_000 } = options
    return await call(host.address, '/v1/lanes/bookings/services/ledger', {
      key, timeoutMs, method: 'POST', body: { flat: 12 }, headers: { 'x-request-id': id, 'x-issued-at': String(issuedAt), 'x-idempotent': 'false', 'x-deadline-ms': String(deadlineMs) }
    })
  }

  function runCount (id: string): number {
    return platform.services.flatMap(({ service }) => service.ran).filter((run) => run.id === id).length
  }

  it('when the same id is sent to all hosts at once', async () => {
    for (let round = 0; round < 10; round++) {
      const id = newId()
      const answers = await Promise.all(cluster.hosts.flatMap((host) => [callOnce(host, id), callOnce(host, id)]))
      expect(runCount(id)).to.equal(1)
      expect(answers.filter(({ status }) => status === 200)).to.have.length.at.least(1)
      for (const answer of answers.filter(({ status }) => status !== 200)) expect(errorOf(answer).code).to.be.oneOf(['inProgress', 'repeatLater'])
    }
  })

  /*
   * Guards against a duplicate ledger entry. The service runs the call, its answer is lost, and the caller retries;
   * a lost answer must not be mistaken for a call that never arrived.
   */
  it('when the answer of the target is lost and the caller retries', async () => {
    const id = newId()
    for (const { service } of platform.services) service.faults.loseAnswers = 1
    expect(errorOf(await callOnce(cluster.host(0), id)).number).to.equal(2001)
    for (const host of [...cluster.hosts, ...cluster.hosts]) {
      const error = errorOf(await callOnce(host, id))
      expect(error.effect).to.equal('unknown-outcome')
    }
    expect(runCount(id)).to.equal(1)
  })

  /*
   * Guards against a call that runs twice after a host was killed. The host that holds the claim is killed while the
   * call runs, and the caller retries on another host. The claim must not be taken over, as the call may have run.
   */
  it('when the host that holds the claim is killed while the call runs', async () => {
    const id = newId()
    for (const { service } of platform.services) service.faults.delayMs = 1500
    const killedCall = callOnce(cluster.host(2), id).catch(() => 'cut')
    await waitUntil(() => runCount(id) === 1, 3000, 'the call runs')
    await cluster.host(2).kill()
    expect(await killedCall).to.equal('cut')
    await waitUntil(async () => errorOf(await callOnce(cluster.host(0), id)).code === 'unknownOutcome', 8000, 'the outcome is reported as unknown')
    expect(runCount(id)).to.equal(1)
    cluster.host(2).start()
  })

  /*
   * Guards against a call that runs a second time when its host resumes. The host is frozen while it writes its
   * claim, the caller retries on another host for some seconds, then the host resumes. The conditions that it
   * checked before the freeze may no longer hold.
   */
  it('when the claiming host is frozen and resumed', async () => {
    for (let round = 0; round < 4; round++) {
      const id = newId()
      platform.log.log.faults.appendDelayMs = 40
      const frozenCall = callOnce(cluster.host(0), id, { deadlineMs: 2000 }).catch(() => undefined)
      await new Promise((resolve) => setTimeout(resolve, 15 + 15 * round))
      cluster.host(0).freeze()
      platform.log.log.faults.appendDelayMs = 0
      const repeats: string[] = []
      const until = Date.now() + 2500
      while (Date.now() < until) {
        const answer = await callOnce(cluster.host(1), id, { deadlineMs: 1000 })
        repeats.push(answer.status === 200 ? 'answered' : errorOf(answer).code)
        await new Promise((resolve) => setTimeout(resolve, 100))
      }
      cluster.host(0).resume()
      await frozenCall
      await new Promise((resolve) => setTimeout(resolve, 300))
      expect(runCount(id), repeats.join(' ')).to.be.at.most(1)
      await waitUntil(async () => (await cluster.host(0).health()).fresh === true, 5000, 'the resumed host is fresh')
    }
  })

  it('when the log is down: refused as not run, without delay', async () => {
    platform.log.log.faults.down = true
    await waitUntil(async () => errorOf(await callOnce(cluster.host(0), newId())).code === 'logUnavailable', 6000, 'the outage is detected')
    const id = newId()
    const began = Date.now()
    const answer = await callOnce(cluster.host(0), id)
    expect(Date.now() - began).to.be.below(500)
    expect(errorOf(answer)).to.include({ number: 1005, effect: 'not-run' })
    expect(errorOf(answer).retry_after_ms).to.be.greaterThan(0)
    platform.log.log.faults.down = false
    await waitUntil(async () => (await callOnce(cluster.host(1), id)).status === 200, 8000, 'the repeat runs')
    expect(runCount(id)).to.equal(1)
  })

  it('when the log is silent: refused as not run, without delay once the silence is detected', async () => {
    platform.log.log.faults.silent = true
    await new Promise((resolve) => setTimeout(resolve, 2600))
    const id = newId()
    const began = Date.now()
    expect(errorOf(await callOnce(cluster.host(0), id))).to.include({ number: 1005, effect: 'not-run' })
    expect(Date.now() - began).to.be.below(400)
    expect(runCount(id)).to.equal(0)
  })

  /*
   * Guards against a request that runs after it was refused as not run. The append of the claim takes longer than the
   * host waits for it, so the host refuses the request. It must not send the call when it later reads the claim from
   * the log.
   */
  it('when the claim is appended after its host has given up', async () => {
    await waitUntil(async () => (await callOnce(cluster.host(0), newId())).status === 200, 8000, 'the log accepts claims')
    const id = newId()
    platform.log.log.faults.appendDelayMs = 1200
    const answer = await callOnce(cluster.host(0), id, { deadlineMs: 6000 })
    expect(errorOf(answer)).to.include({ code: 'logUnavailable', effect: 'not-run' })
    expect(runCount(id)).to.equal(0)
    platform.log.log.faults.appendDelayMs = 0
    await new Promise((resolve) => setTimeout(resolve, 1500))
    expect(runCount(id)).to.equal(0)
    await waitUntil(async () => (await callOnce(cluster.host(1), id)).status === 200, 8000, 'the repeat runs')
    expect(runCount(id)).to.equal(1)
  })

  it('per caller: the same id of two callers is two requests', async () => {
    const id = newId()
    const [mine, theirs] = await Promise.all([callOnce(cluster.host(0), id), callOnce(cluster.host(1), id, { key: keys.stranger })])
    expect([mine.status, theirs.status]).to.deep.equal([200, 200])
    expect(runCount(id)).to.equal(2)
  })

  it('when the id is older than the claim window: refused with an unknown outcome', async () => {
    const id = newId()
    const answer = await callOnce(cluster.host(0), id, { issuedAt: Date.now() - 11 * 60_000 })
    expect(errorOf(answer)).to.include({ number: 2002, effect: 'unknown-outcome' })
    expect(runCount(id)).to.equal(0)
  })

  describe('the effect not-run is correct', () => {
    const refusals: readonly { name: string, code: string, arrange: () => void | Promise<void>, undo?: () => void | Promise<void>, deadlineMs?: number }[] = [
      { name: 'the target refuses before running', code: 'targetRefused', arrange: () => { for (const { service } of platform.services) service.faults.refuse = true } },
      { name: 'nothing listens at the target', code: 'targetUnreachable', arrange: async () => { await setTargetAddresses('http://127.0.0.1:1') }, undo: restoreTargets },
      { name: 'all targets are drained', code: 'noTarget', arrange: async () => { await cluster.execute('drain target viewings-0', 'drain target viewings-1') }, undo: async () => { await cluster.execute('restore target viewings-0', 'restore target viewings-1') } },
      { name: 'the log is down', code: 'logUnavailable', arrange: async () => { platform.log.log.faults.down = true; await waitUntil(async () => errorOf(await callOnce(cluster.host(0), newId())).code === 'logUnavailable', 5000, 'outage') } }
    ]

    async function setTargetAddresses (address: string): Promise<void> {
      await cluster.execute(`set target viewings-0 address "${address}"`, `set target viewings-1 address "${address}"`)
    }

    async function restoreTargets (): Promise<void> {
      await cluster.execute(...platform.services.map(({ address }, index) => `set target viewings-${index} address "${address}"`))
      await waitUntil(async () => (await callOnce(cluster.host(0), newId())).status === 200, 8000, 'targets are available again')
    }

    for (const { name, code, arrange, undo } of refusals) {
      it(`when ${name}`, async () => {
        const id = newId()
        await arrange()
        const answer = await callOnce(cluster.host(0), id)
        expect(errorOf(answer)).to.include({ code, effect: 'not-run' })
        expect(errorOf(answer).retry_after_ms).to.be.greaterThan(0)
        expect(runCount(id)).to.equal(0)
        await undo?.()
      })
    }

    it('and is not reported when the target goes silent after it was sent the call', async () => {
      const id = newId()
      for (const { service } of platform.services) service.faults.silent = true
      const answer = await callOnce(cluster.host(0), id, { deadlineMs: 700 })
      expect(errorOf(answer).effect).to.equal('unknown-outcome')
    })

    it('and is not reported when the target closes the connection after it was sent the call', async () => {
      const id = newId()
      for (const { service } of platform.services) service.faults.loseAnswers = 1
      expect(errorOf(await callOnce(cluster.host(1), id)).effect).to.equal('unknown-outcome')
    })
  })
})
