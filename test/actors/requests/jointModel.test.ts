/**
 * Model-based test of the guarantees in combination, over fakes: three hosts, one log, one service and one
 * trainer under a manually advanced clock. It runs random sequences of calls, pulls, submissions, samples, weights,
 * freezes, outages and lost answers, and checks the guarantees against the records of the fakes.
 */

import { expect } from 'chai'
import fc from 'fast-check'
import { asPoolName } from '../../../src/base/common/ids.ts'
import { resultCodes } from '../../../src/base/common/resultCode.ts'
import { snapshot } from '../../../src/core/common/fold/fold.ts'
import type { Command } from '../../../src/core/common/fold/command.ts'
import type { ControlRecord } from '../../../src/core/common/fold/records.ts'
import { FakeHost, FakeLog, FakeService } from '../../support/fakeHost.ts'
import { ManualClock, settle } from '../../support/manualClock.ts'

const HOSTS = 3

class World {
  readonly clock = new ManualClock()
  readonly log = new FakeLog()
  readonly service = new FakeService()
  readonly hosts: FakeHost[]
  /** Outcomes reported to callers, by request id. */
  readonly outcomesByRequest = new Map<string, string[]>()
  readonly pullsBySample = new Map<string, number>()
  readonly faults: string[] = []
  readonly revisions: number[] = Array.from({ length: HOSTS }, () => 0)
  version = 1
  private cursor = 0
  private pulling = false
  private records = 0

  constructor () {
    this.hosts = Array.from({ length: HOSTS }, (_, index) => new FakeHost(`h${index}`, this.log, this.service, this.clock, index + 1, () => this.hosts.map(({ id }) => ({ host: id, status: 'alive' }))))
  }

  host (index: number): FakeHost {
    return this.hosts[index % HOSTS] as FakeHost
  }

  async start (): Promise<void> {
    await this.clock.advance(50)
    const commands: Command[] = [
      { verb: 'create', kind: 'pool', name: 'drafter', properties: { copies: 2, weights: 1 } },
      { verb: 'create', kind: 'subscription', name: 'drafts', properties: { pool: 'drafter', trainer: 'trainer', staleness: 1 } }
    ]
    for (const command of commands) this.decide(0, { kind: 'command', ...this.base(), by: 'layla', command })
    await this.clock.advance(100)
  }

  base (): { id: string, at: number } {
    return { id: `test-${this.records++}`, at: this.clock.wall() }
  }

  decide (host: number, record: ControlRecord): void {
    this.host(host).appender.decide(record, 1000).catch(() => undefined)
  }

  callOnce (host: number, id: string): void {
    const now = this.clock.monotonic()
    this.host(host).calls.runOnce({
      id, caller: 'records', pool: asPoolName('viewings'), lane: 'l', priority: 0, callerLimit: 10, method: 'POST', path: '/ledger', deadline: now + 800, signal: new AbortController().signal, issuedAt: 1_000_000
    }).then((outcome) => {
      this.outcomesByRequest.set(id, [...this.outcomesByRequest.get(id) ?? [], outcome.ok ? 'answered' : resultCodes[outcome.code].effect])
    }, (error: unknown) => { this.faults.push(String(error)) })
  }

  submit (host: number, group: string): void {
    this.host(host).trainerDesk.submit('drafts', [{ id: group, step: 0, prompt: group, samples: 2, issuedAt: 1_000_000 }]).catch(() => undefined)
  }

  sample (host: number, group: string, index: number, lag: number): void {
    this.log.append('payload', JSON.stringify({ v: 1, items: [`${group}/${index}`] }))
    const offset = Math.max(0, this.log.streams.payload.length - 1)
    this.decide(host, { kind: 'samples', ...this.base(), subscription: 'drafts', items: [{ group, index, segments: [{ version: Math.max(0, this.version - lag), from: 0, to: 1 }], score: 0, payload: { offset, item: 0 } }] })
  }

  publish (host: number): void {
    this.decide(host, { kind: 'command', ...this.base(), by: 'layla', command: { verb: 'load', pool: 'drafter', version: this.version + 1 } })
  }

  /** Pulls as a trainer with at most one pull in progress, which advances its cursor only with answers that it receives. */
  pull (host: number, lost: boolean): void {
    if (this.pulling) return
    this.pulling = true
    const { version, cursor } = this
    const until = this.clock.monotonic() + 2000
    const gaveUp = (): boolean => this.clock.monotonic() > until
    this.clock.after(2000, () => { this.pulling = false })
    this.host(host).trainerDesk.pull('drafts', { cursor, version, maximum: 4, minimum: 1, waitMs: 100 }).then((batch) => {
      if (gaveUp()) return
      this.pulling = false
      if (!batch.ok || lost) return
      this.cursor = batch.value.cursor
      for (const { group, index, segments } of batch.value.samples) {
        const name = `${group}/${index}`
        this.pullsBySample.set(name, (this.pullsBySample.get(name) ?? 0) + 1)
        if (Math.min(...segments.map((segment) => segment.version)) < version - 1) this.faults.push(`${name} is too old`)
      }
    }, (error: unknown) => { this.faults.push(String(error)) })
  }

  /** Checks the invariants that must hold at all times. */
  checkInvariants (): void {
    const times = new Map<string, number>()
    for (const id of this.service.ran) times.set(id, (times.get(id) ?? 0) + 1)
    for (const [id, count] of times) if (count > 1) this.faults.push(`${id} ran ${count} times`)
    for (const [name, count] of this.pullsBySample) if (count > 1) this.faults.push(`${name} was pulled ${count} times`)
    this.hosts.forEach(({ fold }, index) => {
      const revision = fold.state.configurationRevision
      if (revision < (this.revisions[index] ?? 0)) this.faults.push(`h${index} went back to ${revision}`)
      this.revisions[index] = revision
      this.version = Math.max(this.version, fold.state.configuration.pool.drafter?.properties.weights ?? 0)
    })
    const digests = new Map<number, string>()
    for (const { fold } of this.hosts) {
      const text = snapshot(fold.state)
      const other = digests.get(fold.state.offset)
      if (other !== undefined && other !== text) this.faults.push(`states differ at ${fold.state.offset}`)
      digests.set(fold.state.offset, text)
    }
  }

  /** Checks, after all faults are over, that no request reported as not run was run, and that the hosts agree. */
  async checkFinalInvariants (): Promise<void> {
    this.log.down = false
    for (const host of this.hosts) host.resume()
    await this.clock.advance(6000)
    this.checkInvariants()
    for (const [id, answers] of this.outcomesByRequest) {
      const last = answers.at(-1)
      if (last === 'not-run' && answers.every((answer) => answer === 'not-run') && this.service.ran.includes(id)) this.faults.push(`${id} was reported as not run`)
    }
    const offsets = new Set(this.hosts.map(({ fold }) => fold.state.offset))
    if (offsets.size !== 1) this.faults.push(`hosts end at ${[...offsets].join(', ')}`)
  }

  dispose (): void {
    for (const host of this.hosts) host.dispose()
  }
}

const host = fc.nat(HOSTS - 1)
const group = fc.constantFrom('g0', 'g1', 'g2')
const step = fc.oneof(
  fc.record({ type: fc.constant('call' as const), host, id: fc.constantFrom('r0', 'r1', 'r2') }),
  fc.record({ type: fc.constant('submit' as const), host, group }),
  fc.record({ type: fc.constant('sample' as const), host, group, index: fc.nat(1), lag: fc.nat(2) }),
  fc.record({ type: fc.constant('pull' as const), host, lost: fc.boolean() }),
  fc.record({ type: fc.constant('publish' as const), host }),
  fc.record({ type: fc.constant('freeze' as const), host }),
  fc.record({ type: fc.constant('wake' as const), host }),
  fc.record({ type: fc.constant('outage' as const), down: fc.boolean() }),
  fc.record({ type: fc.constant('lose' as const), what: fc.constantFrom('log' as const, 'service' as const) }),
  fc.record({ type: fc.constant('pass' as const), ms: fc.integer({ min: 1, max: 400 }) })
)

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never

async function applyStep (world: World, item: Step): Promise<void> {
  switch (item.type) {
    case 'call': world.callOnce(item.host, item.id); break
    case 'submit': world.submit(item.host, item.group); break
    case 'sample': world.sample(item.host, item.group, item.index, item.lag); break
    case 'pull': world.pull(item.host, item.lost); break
    case 'publish': world.publish(item.host); break
    case 'freeze': world.host(item.host).freeze(); break
    case 'wake': world.host(item.host).resume(); break
    case 'outage': world.log.down = item.down; break
    case 'lose': if (item.what === 'log') world.log.loseAnswers = 1; else world.service.loseAnswers = 1; break
    case 'pass': await world.clock.advance(item.ms); break
  }
  await settle()
}

describe('all guarantees in combination, over fakes', function () {
  this.timeout(120_000)

  it('hold throughout random sequences of work and faults', async () => {
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 40 }), async (steps) => {
      const world = new World()
      try {
        await world.start()
        for (const item of steps) {
          await applyStep(world, item)
          world.checkInvariants()
        }
        await world.checkFinalInvariants()
        expect(world.faults).to.deep.equal([])
      } finally {
        world.dispose()
      }
    }), { seed: 20261202, numRuns: 60, endOnFailure: false })
  })
})
