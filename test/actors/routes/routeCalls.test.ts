/** Requests forwarded to targets that refuse, fail, send wrong answers or stay silent. */

import { expect } from 'chai'
import { allMechanisms } from '../../../src/core/common/mechanisms.ts'
import { RouteCalls } from '../../../src/actors/common/routes/routeCalls.ts'
import type { RoutedAnswer } from '../../../src/actors/common/routes/routedRequest.ts'
import { StreamCalls } from '../../../src/actors/common/routes/streamCalls.ts'
import { TargetTable } from '../../../src/actors/common/routes/targetTable.ts'
import type { Failure, Result } from '../../../src/base/common/resultCode.ts'
import { pause } from '../../../src/ports/common/clock.ts'
import type { Route } from '../../../src/core/common/routes/routeConfiguration.ts'
import { targetProtocol } from '../../../platform/index.ts'
import { noopStateLog, noopMetrics } from '../../support/fakeHost.ts'
import { ManualClock, newSeededChance } from '../../support/manualClock.ts'
import { newRoute, newTargetDefinition } from '../../support/routes.ts'
import type { ScriptedAnswer } from '../../support/scriptedClient.ts'
import { ScriptedClient } from '../../support/scriptedClient.ts'
import { newCrashGuards } from '../../support/targetEnds.ts'

const ownHeaders = { 'bulrushvalve-request-id': 'r', 'bulrushvalve-response-seal': 's' }
const good = (afterMs = 20): ScriptedAnswer => ({ afterMs, headers: ownHeaders })
const refused: ScriptedAnswer = { afterMs: 5, status: 503, headers: { 'bulrushvalve-not-run': '1', 'bulrushvalve-request-id': 'r' } }
const failed: ScriptedAnswer = { afterMs: 5, status: 500, headers: ownHeaders }
const unreachable: ScriptedAnswer = { afterMs: 5, failure: 'targetUnreachable' }
const reset: ScriptedAnswer = { afterMs: 5, failure: 'unknownOutcome' }
const wrongRequestId: ScriptedAnswer = { afterMs: 5, headers: { ...ownHeaders, 'bulrushvalve-request-id': 'other' } }
const unsealed: ScriptedAnswer = { afterMs: 5, headers: { 'bulrushvalve-request-id': 'r' } }
const silent: ScriptedAnswer = { afterMs: Number.POSITIVE_INFINITY }

interface Fixture {
  readonly clock: ManualClock
  readonly client: ScriptedClient
  readonly table: TargetTable
  readonly gone: AbortController
}

function createFixture (targets: Readonly<Record<string, readonly ScriptedAnswer[]>>): Fixture {
  const clock = new ManualClock()
  const table = new TargetTable({ clock, stateLog: noopStateLog })
  for (const id of Object.keys(targets)) table.set(newTargetDefinition({ id, address: id }))
  return { clock, client: new ScriptedClient(clock, targets), table, gone: new AbortController() }
}

async function call ({ clock, client, table, gone }: Fixture, details: Partial<Route> = {}, { advanceMs = 3000, waitMs = 2000, background = false } = {}): Promise<{ result: Result<RoutedAnswer>, tookMs: number }> {
  const calls = new RouteCalls({ targets: table, client, ...newCrashGuards(table, client, clock), protocol: targetProtocol, clock, chance: newSeededChance(3), metrics: noopMetrics, stateLog: noopStateLog, place: 'here', mechanisms: allMechanisms })
  const began = clock.now
  let ended = Number.POSITIVE_INFINITY
  const result = calls.call({ route: newRoute(details), requestId: 'r', method: 'POST', path: '/a/', headers: (options) => targetProtocol.forwardHeaders([], options, { type: 'open' }), body: undefined, waitMs, configuration: 1, background, gone: gone.signal })
  result.then(() => { ended = clock.now }).catch(() => undefined)
  await clock.advance(advanceMs)
  return { result: await result, tookMs: ended - began }
}

const outcome = (result: Result<RoutedAnswer>): string => result.ok ? `${result.value.answer.status} of ${result.value.target}` : result.code

describe('an idempotent request', () => {
  it('is not reported as not run if its connection broke and no target remains', async () => {
    // Guards against a 503 for a request whose target crashed: the host had sent it and then found no entry of a target. 503 promises that nothing ran.
    const stage = createFixture({ a: [reset] })
    stage.clock.after(3, () => { stage.table.remove('a', Number.NEGATIVE_INFINITY) })
    expect(outcome((await call(stage)).result)).to.equal('unknownOutcome')
  })

  for (const { name, answers, expected } of [
    { name: 'a refusal', answers: [refused], expected: '200 of b' },
    { name: 'a failure to connect', answers: [unreachable], expected: '200 of b' },
    { name: 'a broken connection', answers: [reset], expected: '200 of b' },
    { name: "another request's answer", answers: [wrongRequestId], expected: '200 of b' },
    { name: 'an answer without a seal', answers: [unsealed], expected: '200 of b' },
    { name: "the target's own failure", answers: [failed], expected: '200 of b' },
    { name: 'silence', answers: [silent], expected: '200 of b' }
  ]) {
    it(`is sent to another target after ${name}`, async () => {
      const stage = createFixture({ a: answers, b: [good()] })
      stage.table.get('b')?.recordAnswerTime(90)
      const { result, tookMs } = await call(stage)
      expect(outcome(result)).to.equal(expected)
      expect(tookMs).to.be.lessThan(200)
    })
  }

  it('is sent to no more targets than its route allows', async () => {
    const stage = createFixture({ a: [reset], b: [reset], c: [good()] })
    stage.table.get('c')?.recordAnswerTime(500)
    const { result } = await call(stage)
    expect(outcome(result)).to.equal('unknownOutcome')
    expect(stage.client.sent).to.have.length(2)
  })

  it('uses the first answer and aborts the other attempt', async () => {
    const stage = createFixture({ a: [good(400)], b: [good(30)] })
    stage.table.get('b')?.recordAnswerTime(90)
    const { result, tookMs } = await call(stage)
    expect(outcome(result)).to.equal('200 of b')
    expect(tookMs).to.equal(130)
    expect(stage.client.sent[0]?.cancelledAt).to.equal(stage.client.sent[0]?.at === undefined ? undefined : stage.client.sent[0].at + 130)
  })

  it('is answered with the failure that targets report if all of them fail', async () => {
    const { result } = await call(createFixture({ a: [failed], b: [failed] }))
    expect(outcome(result)).to.match(/^500/)
    expect(result.ok && result.value.failures).to.equal(2)
  })

  it('is answered at once when all targets have failed, though its route would allow more attempts', async () => {
    // Guards against steps that are held up for seconds by samples whose scorer always fails: with fewer targets than the
    // route's attempts (four allowed, three present) and all of them failed, the call waited for another one until half of its time was over.
    const { result, tookMs } = await call(createFixture({ a: [failed], b: [failed] }), { attempts: 4 })
    expect(outcome(result)).to.match(/^500/)
    expect(tookMs).to.equal(10)
  })

  it('is retried while all targets are full, and rejected while the caller has time to ask elsewhere', async () => {
    const soon = createFixture({ a: [refused, refused, good()], b: [refused] })
    expect(outcome((await call(soon)).result)).to.equal('200 of a')
    const never = await call(createFixture({ a: [refused], b: [refused] }))
    expect(never.result).to.include({ ok: false, code: 'overloaded', retryAfterMs: 300 })
    expect(never.tookMs).to.be.within(900, 1050)
  })

  it('is rejected at once if there is no target', async () => {
    const { result, tookMs } = await call(createFixture({}))
    expect(outcome(result)).to.equal('noTarget')
    expect(tookMs).to.equal(0)
  })

  it('is answered in time though no target answers', async () => {
    const { result, tookMs } = await call(createFixture({ a: [silent], b: [silent] }), { timeoutMs: 700 })
    expect(outcome(result)).to.equal('unknownOutcome')
    expect(tookMs).to.equal(700)
  })

  it('passes only the remaining time to targets', async () => {
    const stage = createFixture({ a: [silent], b: [silent] })
    await call(stage, { timeoutMs: 700 }, { waitMs: 500 })
    const given = stage.client.sent.map(({ headers }) => Number(headers[headers.indexOf('bulrushvalve-deadline-ms') + 1]))
    expect(given).to.deep.equal([500, 400])
  })

  it('is aborted at all targets when its caller disconnects', async () => {
    const stage = createFixture({ a: [silent], b: [silent] })
    stage.clock.after(150, () => { stage.gone.abort() })
    const { result } = await call(stage)
    expect(outcome(result)).to.equal('cancelled')
    expect(stage.client.sent.map(({ at, cancelledAt }) => (cancelledAt ?? 0) - at)).to.deep.equal([150, 50])
  })

  it('is sent to a target that has failed only as the last choice', async () => {
    const stage = createFixture({ a: [reset, good()], b: [good()] })
    stage.table.get('b')?.recordAnswerTime(90)
    await call(stage, {}, { advanceMs: 100 })
    const second = await call(stage, {}, { advanceMs: 100 })
    expect(outcome(second.result)).to.equal('200 of b')
    expect(stage.client.sent.filter(({ address }) => address === 'a')).to.have.length(1)
  })
})

describe('a once-only request', () => {
  const once = { kind: 'once-only', attempts: 3 } as const

  for (const { name, answers } of [{ name: 'a refusal', answers: [refused] }, { name: 'a failure to connect', answers: [unreachable] }]) {
    it(`is sent to another target after ${name}, as nothing was run`, async () => {
      const stage = createFixture({ a: answers, b: [good()] })
      stage.table.get('b')?.recordAnswerTime(90)
      expect(outcome((await call(stage, once)).result)).to.equal('200 of b')
    })
  }

  for (const { name, answers, expected } of [
    { name: 'a broken connection', answers: [reset], expected: 'unknownOutcome' },
    { name: "another request's answer", answers: [wrongRequestId], expected: 'unknownOutcome' },
    { name: 'an answer without a seal', answers: [unsealed], expected: 'unknownOutcome' },
    { name: 'silence', answers: [silent], expected: 'unknownOutcome' },
    { name: "the target's own failure", answers: [failed], expected: '500 of a' }
  ]) {
    it(`is sent to no other target after ${name}`, async () => {
      const stage = createFixture({ a: answers, b: [good()] })
      stage.table.get('b')?.recordAnswerTime(90)
      expect(outcome((await call(stage, once)).result)).to.equal(expected)
      expect(stage.client.sent).to.have.length(1)
      expect(stage.client.sent[0]?.ownConnection).to.equal(true)
    })
  }
})

describe('background calls', () => {
  it('leave one slot of each target free for waiting callers', async () => {
    const { clock, client, table, gone } = createFixture({ a: [silent] })
    const calls = new RouteCalls({ targets: table, client, ...newCrashGuards(table, client, clock), protocol: targetProtocol, clock, chance: newSeededChance(3), metrics: noopMetrics, stateLog: noopStateLog, place: 'here', mechanisms: allMechanisms })
    for (let index = 0; calls.hasBackgroundCapacity(newRoute()); index++) {
      calls.call({ route: newRoute(), requestId: `b${index}`, method: 'POST', path: '/', headers: () => [], body: undefined, waitMs: 1000, configuration: 1, background: true, gone: gone.signal }).catch(() => undefined)
    }
    expect(client.sent).to.have.length(5)
    await clock.advance(2000)
  })
})

describe('a request that cannot be sent over HTTP', () => {
  const unsendable: ScriptedAnswer = { afterMs: 5, failure: 'malformed' }
  for (const kind of ['idempotent', 'once-only'] as const) {
    it(`is rejected at once and says nothing about targets if it is ${kind}`, async () => {
      // Guards against a request that makes each target of its service count as failed.
      const fixture = createFixture({ a: [unsendable], b: [unsendable] })
      const { result, tookMs } = await call(fixture, { kind })
      expect([outcome(result), tookMs, fixture.client.sent.length]).to.deep.equal(['malformed', 5, 1])
      expect(['a', 'b'].map((id) => [fixture.table.get(id)?.suspect, fixture.table.get(id)?.inFlight])).to.deep.equal([[false, 0], [false, 0]])
    })
  }

  it('does not hide that an earlier attempt may have run', async () => {
    // Guards against an answer that says that nothing ran.
    const fixture = createFixture({ a: [{ afterMs: 20, failure: 'unknownOutcome' }], b: [unsendable] })
    fixture.table.get('b')?.recordAnswerTime(90)
    expect(outcome((await call(fixture)).result)).to.equal('unknownOutcome')
  })
})

describe('a stream', () => {
  /** Longest time for which a caller may read nothing. */
  const CALLER_PAUSE_MS = 5000
  const event = (id: number): string => `id: ${id}\ndata: ${id}\n\n`
  const events = (from: number, to: number, afterMs = 10): ScriptedAnswer['events'] => Array.from({ length: to - from }, (_, index) => ({ afterMs, raw: event(from + index) }))
  const whole = [0, 1, 2, 3].map(event).join('')

  async function stream (targets: Readonly<Record<string, readonly ScriptedAnswer[]>>, details: Partial<Route> = {}, reads?: (clock: ManualClock) => Promise<void> | undefined, resumeAfter?: number): Promise<{ got: string, ended: string, failed: Failure | undefined, client: ScriptedClient, answerMs: number | undefined }> {
    const stage = createFixture(targets)
    const calls = new StreamCalls({ targets: stage.table, client: stage.client, ...newCrashGuards(stage.table, stage.client, stage.clock), protocol: targetProtocol, clock: stage.clock, chance: newSeededChance(3), metrics: noopMetrics, stateLog: noopStateLog, place: 'here', mechanisms: allMechanisms }, CALLER_PAUSE_MS)
    stage.table.get('b')?.recordAnswerTime(90)
    let got = ''
    let ended = ''
    const done = calls.call({ route: newRoute({ kind: 'streaming', resumable: true, attempts: 3, timeoutMs: 9000, ...details }), requestId: 'r', method: 'POST', path: '/a/', headers: (options) => targetProtocol.forwardHeaders([], options, { type: 'open' }), body: undefined, waitMs: 9000, configuration: 1, background: false, gone: stage.gone.signal, resumeAfter }, {
      writeHead: () => { got += 'head ' },
      write: (piece) => {
        got += Buffer.from(piece).toString('latin1')
        return reads?.(stage.clock)
      },
      end: () => { ended = 'end' },
      abort: () => { ended = 'cut' }
    })
    await stage.clock.advance(12_000)
    return { got, ended, failed: await done, client: stage.client, answerMs: stage.table.get('a')?.answerMs }
  }

  it('is forwarded completely', async () => {
    const { got, ended } = await stream({ a: [{ ...good(), events: events(0, 4) }] })
    expect([got, ended]).to.deep.equal([`head ${whole}`, 'end'])
  })

  it('frees the slot of its target if its run ends with an unexpected error', async () => {
    // Guards against a target that counts as busy for good.
    const { table, client, clock, gone } = createFixture({ a: [good()] })
    const guards = newCrashGuards(table, client, clock)
    guards.ends.track = () => { throw new Error('unexpected error') }
    const calls = new StreamCalls({ targets: table, client, ...guards, protocol: targetProtocol, clock, chance: newSeededChance(3), metrics: noopMetrics, stateLog: noopStateLog, place: 'here', mechanisms: allMechanisms }, CALLER_PAUSE_MS)
    const ended = calls.call({ route: newRoute({ kind: 'streaming' }), requestId: 'r', method: 'POST', path: '/a/', headers: () => [], body: undefined, waitMs: 9000, configuration: 1, background: false, gone: gone.signal, resumeAfter: undefined }, { writeHead: () => undefined, write: () => undefined, end: () => undefined, abort: () => undefined })
    expect(await ended.then(() => 'ended', () => 'error')).to.equal('error')
    expect(table.get('a')?.inFlight).to.equal(0)
  })

  it('is forwarded byte for byte, including bytes that are not text or end within a character', async () => {
    // Guards against a 200 whose body differs from the target's because chunks are decoded as text in between.
    const raw = Buffer.from([0xff, 0xd8, 0x0a, 0x0a, 0x00, 0xe2, 0x82])
    const { got, ended } = await stream({ a: [{ ...good(), events: [{ afterMs: 5, raw: raw.subarray(0, 1) }, { afterMs: 5, raw: raw.subarray(1) }] }] })
    expect([got, ended]).to.deep.equal([`head ${raw.toString('latin1')}`, 'end'])
  })

  it('is read from its target only as fast as its caller reads, and a pause of the caller does not count as silence of the target', async () => {
    // Guards against targets that are abandoned or considered slow because a caller pauses.
    const { got, ended, client, answerMs } = await stream({ a: [{ ...good(), events: events(0, 4) }], b: [good()] }, {}, (clock) => pause(clock, 2000))
    expect([got, ended]).to.deep.equal([`head ${whole}`, 'end'])
    expect(client.sent.map(({ address }) => address)).to.deep.equal(['a'])
    expect(answerMs).to.be.below(200)
  })

  it('is aborted together with its run if its caller reads nothing for too long', async () => {
    // Guards against a target slot that stays occupied for a caller that vanished without closing its connection.
    const { got, ended, client } = await stream({ a: [{ ...good(), events: events(0, 4) }], b: [good()] }, {}, () => new Promise(() => undefined))
    expect([got, ended]).to.deep.equal([`head ${event(0)}`, 'cut'])
    expect(client.sent).to.have.length(1)
  })

  it('resumes at another target after the last complete event, without partial events', async () => {
    const torn = [...events(0, 2) ?? [], { afterMs: 5, raw: 'id: 2\nda' }]
    const { got, ended, client } = await stream({ a: [{ ...good(), events: torn, isBroken: true }], b: [{ ...good(), events: events(2, 4) }] })
    expect([got, ended]).to.deep.equal([`head ${whole}`, 'end'])
    expect(client.sent[1]?.headers).to.include.members(['last-event-id', '1'])
  })

  it('leaves a silent target in time to resume at another one', async () => {
    const { got, ended, client } = await stream({ a: [{ ...good(), events: [...events(0, 2) ?? [], { afterMs: 60_000, raw: '' }] }], b: [{ ...good(), events: events(2, 4) }] })
    expect([got, ended]).to.deep.equal([`head ${whole}`, 'end'])
    expect((client.sent[1]?.at ?? 0) - (client.sent[0]?.at ?? 0)).to.be.at.most(1600)
  })

  it('is aborted if it must not be resumed', async () => {
    const { ended, client } = await stream({ a: [{ ...good(), events: events(0, 2), isBroken: true }], b: [{ ...good(), events: events(2, 4) }] }, { resumable: false })
    expect(ended).to.equal('cut')
    expect(client.sent).to.have.length(1)
  })

  it('is aborted rather than forwarded with an event missing', async () => {
    const { got, ended } = await stream({ a: [{ ...good(), events: [...events(0, 2) ?? [], ...events(3, 4) ?? []] }] })
    expect([got, ended]).to.deep.equal([`head ${event(0)}${event(1)}`, 'cut'])
  })

  const eventStream = (type = 'text/event-stream', details: Record<string, string> = {}): ScriptedAnswer => ({ afterMs: 20, headers: { ...ownHeaders, 'content-type': type, ...details } })
  const cut = (raw: string): ScriptedAnswer['events'] => [{ afterMs: 5, raw }]
  const wholeFrom = (first: number): string => whole.slice(whole.indexOf(`id: ${first}`))

  for (const type of ['text/event-stream', 'Text/Event-Stream', 'text/event-stream; charset=utf-8', ' text/event-stream;x=y']) {
    it(`with the type "${type}" resumes at another target if it ends within its first event`, async () => {
      // Guards against a stream that ends as if it were complete although its engine ended within the first event.
      const { got, ended, client } = await stream({ a: [{ ...eventStream(type), events: cut('id: 0\ndata: 0') }], b: [{ ...eventStream(type), events: events(0, 4) }] })
      expect([got, ended]).to.deep.equal([`head ${whole}`, 'end'])
      expect(client.sent.map(({ address, headers }) => [address, headers.includes('last-event-id')])).to.deep.equal([['a', false], ['b', false]])
    })
  }

  it('is aborted if it ends within its first event and must not be resumed, or breaks in the same way at each target', async () => {
    // Guards against a partial event that the caller takes for the last one of a complete stream.
    const answer = { ...eventStream(), events: cut('id: 0\nda') }
    for (const details of [{ resumable: false }, { attempts: 2 }]) {
      const { got, ended } = await stream({ a: [answer], b: [answer] }, details)
      expect([got, ended]).to.deep.equal(['head ', 'cut'])
    }
  })

  it('resumes again if the run that resumed it ends within its first event', async () => {
    // Guards against a partial event after the events of an earlier run.
    const { got, ended, client } = await stream({ c: [{ ...eventStream(), events: cut('id: 2\n') }], a: [{ ...eventStream(), events: events(0, 2), isBroken: true }], b: [{ ...eventStream(), events: events(2, 4) }] })
    expect(client.sent.map(({ address }) => address)).to.deep.equal(['a', 'c', 'b'])
    expect([got, ended]).to.deep.equal([`head ${whole}`, 'end'])
    expect(client.sent.slice(1).map(({ headers }) => headers[headers.indexOf('last-event-id') + 1])).to.deep.equal(['1', '1'])
  })

  it('that its caller resumes is resumed at another target if it ends within its first event', async () => {
    // Guards against a caller that resumes a stream and is told that it is complete.
    const { got, ended, client } = await stream({ a: [{ ...eventStream(), events: cut('id: 2\ndata') }], b: [{ ...eventStream(), events: events(2, 4) }] }, {}, undefined, 1)
    expect([got, ended]).to.deep.equal([`head ${wholeFrom(2)}`, 'end'])
    expect(client.sent.map(({ headers }) => headers[headers.indexOf('last-event-id') + 1])).to.deep.equal(['1', '1'])
  })

  it('is not resumed after an event without an id, which would come twice', async () => {
    // Guards against a piece that a caller gets twice because a run starts over after it.
    const first = 'data: without an id\n\n'
    const { got, ended, client } = await stream({ a: [{ ...eventStream(), events: [...cut(first) ?? [], ...cut('id: 0\nda') ?? []] }], b: [{ ...eventStream(), events: cut(`${first}${whole}`) }] })
    expect([got, ended]).to.deep.equal([`head ${first}`, 'cut'])
    expect(client.sent).to.have.length(1)
  })

  for (const { name, rest } of [{ name: 'empty lines', rest: '\n\r\n' }, { name: 'a comment', rest: ': done\n' }, { name: 'comments and empty lines', rest: '\n: done\n\n: bye\r\n' }]) {
    it(`is complete if it ends with ${name}`, async () => {
      // Guards against a complete stream that is aborted.
      const { got, ended, client } = await stream({ a: [{ ...eventStream(), events: [...events(0, 4) ?? [], ...cut(rest) ?? []] }], b: [eventStream()] })
      expect([got, ended, client.sent.length]).to.deep.equal([`head ${whole}${rest}`, 'end', 1])
    })
  }

  it('resumes if it ends within a comment', async () => {
    // Guards against a stream that ends as if it were complete although its engine ended within a comment.
    const { got, ended } = await stream({ a: [{ ...eventStream(), events: [...events(0, 2) ?? [], ...cut(': wor') ?? []] }], b: [{ ...eventStream(), events: events(2, 4) }] })
    expect([got, ended]).to.deep.equal([`head ${whole}`, 'end'])
  })

  it('without any event and without a length runs at another target', async () => {
    // Guards against an empty stream that ends as if it were complete although its engine ended after the head.
    const { got, ended } = await stream({ a: [eventStream()], b: [{ ...eventStream(), events: events(0, 4) }] })
    expect([got, ended]).to.deep.equal([`head ${whole}`, 'end'])
  })

  for (const { name, answer } of [
    { name: 'an empty stream with a length', answer: eventStream('text/event-stream', { 'content-length': '0' }) },
    { name: 'an empty stream in chunks', answer: eventStream('text/event-stream', { 'transfer-encoding': 'chunked' }) },
    { name: 'an error with the type of a stream', answer: { ...eventStream(), status: 404, events: cut('no such conversation') } },
    { name: 'a body of another type', answer: { ...eventStream('text/event-streams'), events: cut('{"no": "events"}') } }
  ]) {
    it(`is forwarded as it is if it is ${name}`, async () => {
      // Guards against complete answers that are taken for cut streams.
      const { got, ended, client } = await stream({ a: [answer], b: [eventStream()] })
      expect([got, ended, client.sent.length]).to.deep.equal([`head ${(answer.events ?? []).map(({ raw }) => String(raw)).join('')}`, 'end', 1])
    })
  }

  it('that cannot be sent over HTTP is rejected and says nothing about targets', async () => {
    // Guards against a stream that makes each engine of its service count as failed.
    const { ended, failed, client } = await stream({ a: [{ afterMs: 5, failure: 'malformed' }], b: [{ afterMs: 5, failure: 'malformed' }] })
    expect([ended, failed?.code, client.sent.length]).to.deep.equal(['', 'malformed', 1])
  })

  it('is refused if no target accepts it', async () => {
    const { ended, failed } = await stream({ a: [refused], b: [refused] })
    expect([ended, failed?.code]).to.deep.equal(['', 'overloaded'])
  })
})
