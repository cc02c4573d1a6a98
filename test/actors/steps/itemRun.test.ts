/** One item on one engine that streams, breaks off, sends invalid data or hangs. */

import { expect } from 'chai'
import type { Engine } from '../../../src/actors/common/steps/engineRegistry.ts'
import { EngineRegistry } from '../../../src/actors/common/steps/engineRegistry.ts'
import type { RunOutcome } from '../../../src/actors/common/steps/itemRun.ts'
import { runItem } from '../../../src/actors/common/steps/itemRun.ts'
import { ItemText } from '../../../src/actors/common/steps/itemText.ts'
import { TargetTable } from '../../../src/actors/common/routes/targetTable.ts'
import { RouteTable } from '../../../src/core/common/routes/routeConfiguration.ts'
import { asTextId } from '../../../src/base/common/ids.ts'
import type { ProgressPart, TextEvent } from '../../../src/core/common/steps/progress.ts'
import { PROGRESS_RETENTION_MS, FULL_SAVE_AGE_MS, encodeProgress, progressKey, parseProgress, withoutNewestEvents } from '../../../src/core/common/steps/progress.ts'
import { targetProtocol } from '../../../platform/index.ts'
import { noopStateLog } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { newTargetDefinition } from '../../support/routes.ts'
import type { ScriptedAnswer, SentRequest } from '../../support/scriptedClient.ts'
import { ScriptedClient } from '../../support/scriptedClient.ts'
import { newItem } from '../../support/steps.ts'
import { newText, textEvents } from '../../support/texts.ts'
import { newTargetEnds } from '../../support/targetEnds.ts'

const responseHeaders = { 'bulrushvalve-request-id': 'i', 'bulrushvalve-response-seal': 's', 'bulrushvalve-weight-versions': '3' }
const event = (id: number, version?: number): string => `${version === undefined ? '' : `bulrushvalve-weight-versions: ${version}\n`}id: ${id}\ndata: d${id}\n\n`
const events = (...ids: number[]): ScriptedAnswer['events'] => ids.map((id) => ({ afterMs: 30, raw: event(id) }))

async function run (answer: ScriptedAnswer, { text = newText(), minimumVersion = 2, cancelAfterMs = Number.POSITIVE_INFINITY } = {}): Promise<{ end: RunOutcome, text: ItemText, sent: SentRequest | undefined, version: number, tookMs: number, firstMs: number, baselineIntervalMs: number | undefined, engine: Engine }> {
  const clock = new ManualClock()
  const table = new TargetTable({ clock, stateLog: noopStateLog })
  table.set(newTargetDefinition({ id: 'e', service: 'engines', address: 'e', models: [{ model: 'm', version: 2 }] }))
  const routes = new RouteTable({ version: 1, routes: [], services: [{ name: 'engines', maximumConnections: 9, engine: { slots: 4, models: ['m'] } }], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
  const [engine] = new EngineRegistry(table, clock, () => routes).all()
  if (engine === undefined) throw new Error('no engine')
  const client = new ScriptedClient(clock, { e: [answer] })
  const cancel = new AbortController()
  if (Number.isFinite(cancelAfterMs)) clock.after(cancelAfterMs, () => { cancel.abort() })
  let tookMs = Number.POSITIVE_INFINITY
  let firstMs = Number.POSITIVE_INFINITY
  const began = clock.now
  const ended = runItem({ client, protocol: targetProtocol, clock, ends: newTargetEnds(table, client, clock) }, engine, newItem('i', 'g'), text, { workspace: undefined, host: 'h', model: 'm', minimumVersion, payload: newItem('i', 'g'), firstEventTimeoutMs: 1000, silenceTimeoutMs: 500, cancelled: cancel.signal, onFirstEvent: () => { firstMs = clock.now - began } })
  ended.then(() => { tookMs = clock.now - began }).catch(() => undefined)
  await clock.advance(5000)
  return { end: await ended, text, sent: client.sent[0], version: engine.version('m'), tookMs, firstMs, baselineIntervalMs: engine.pace.baselineIntervalMs, engine }
}

describe('runItem', () => {
  it('reports its first event and no other', async () => {
    expect((await run({ afterMs: 5, headers: responseHeaders, events: [{ afterMs: 5, raw: event(1) }, { afterMs: 5, raw: event(2) }] })).firstMs).to.equal(10)
    expect((await run({ afterMs: 5, headers: responseHeaders, events: [] })).firstMs).to.equal(Number.POSITIVE_INFINITY)
  })

  it('does not time events that are read together with the first one', async () => {
    // Guards against an engine that looks faster than it is because its first events waited for this host.
    const together = Array.from({ length: 8 }, (_, index) => ({ afterMs: index === 0 ? 5 : 0, raw: event(index + 1) }))
    const { baselineIntervalMs } = await run({ afterMs: 5, headers: responseHeaders, events: [...together, ...events(...Array.from({ length: 12 }, (_, index) => index + 9)) ?? []] })
    expect(baselineIntervalMs).to.equal(30)
  })

  it('records the slowdown that the engine reports, and no load of an engine that reports none', async () => {
    // Guards against engines that are used otherwise than before because items record their load reports.
    const end = [{ afterMs: 5, raw: event(1) }]
    const slow = (await run({ afterMs: 5, headers: { ...responseHeaders, 'bulrushvalve-server-load': '3,0,6,250' }, events: end })).engine
    expect([slow.target.report, slow.slowdown?.slowdown, slow.target.reportsSlowdown]).to.deep.equal([{ running: 3, waiting: 0, slots: 6, slowdown: 2.5 }, 2.5, true])
    const former = (await run({ afterMs: 5, headers: { ...responseHeaders, 'bulrushvalve-server-load': '3,0,6' }, events: end })).engine
    expect([former.target.report, former.slowdown, former.target.reportsSlowdown]).to.deep.equal([undefined, undefined, false])
  })

  it('collects events and the versions that produced them', async () => {
    const { end, text, version } = await run({ afterMs: 5, headers: responseHeaders, events: [{ afterMs: 5, raw: event(1) }, { afterMs: 5, raw: event(2, 4) }, { afterMs: 5, raw: event(3) }] })
    expect([end.type, text.text, text.versions, version]).to.deep.equal(['complete', 'd1\nd2\nd3', [3, 4], 4])
  })

  it('requests the events after the last known one', async () => {
    const text = newText()
    text.restore({ events: textEvents(2, 'd1', 'd2'), last: 2 })
    const { end, sent } = await run({ afterMs: 5, headers: responseHeaders, events: events(3, 4) }, { text })
    expect(sent?.headers.join(' ')).to.include('last-event-id 2')
    expect([end.type, text.text, text.versions]).to.deep.equal(['complete', 'd1\nd2\nd3\nd4', [2, 3]])
  })

  for (const [name, numbers] of [['after a later event than requested', [4, 5]], ['from the first event against the request', [1, 2, 3]], ['with the event it should follow', [2, 3]]] as const) {
    it(`accepts no event from an engine that resumes ${name}`, async () => {
      const text = newText()
      text.restore({ events: textEvents(2, 'd1', 'd2'), last: 2 })
      const { end } = await run({ afterMs: 5, headers: responseHeaders, events: events(...numbers) }, { text })
      expect([end.type, text.text, text.versions, text.last]).to.deep.equal(['broken', 'd1\nd2', [2], 2])
    })
  }

  for (const { name, answer, expected, held } of [
    { name: 'a truncated event', answer: { afterMs: 5, headers: responseHeaders, events: [...events(1, 2) ?? [], { afterMs: 5, raw: 'id: 3\nda' }], breaks: true }, expected: 'broken', held: 'd1\nd2' },
    { name: 'an end in the middle of an event', answer: { afterMs: 5, headers: responseHeaders, events: [...events(1) ?? [], { afterMs: 5, raw: 'id: 2\nda' }] }, expected: 'broken', held: 'd1' },
    { name: 'an end after its head', answer: { afterMs: 5, headers: responseHeaders, events: [] }, expected: 'broken', held: '' },
    { name: 'an end after its head with a length', answer: { afterMs: 5, headers: { ...responseHeaders, 'content-length': '0' }, events: [] }, expected: 'complete', held: '' },
    { name: 'an end after a comment', answer: { afterMs: 5, headers: responseHeaders, events: [...events(1) ?? [], { afterMs: 5, raw: ': done\n' }] }, expected: 'complete', held: 'd1' },
    { name: 'an end within a comment', answer: { afterMs: 5, headers: responseHeaders, events: [...events(1) ?? [], { afterMs: 5, raw: ': do' }] }, expected: 'broken', held: 'd1' },
    { name: 'a missing event', answer: { afterMs: 5, headers: responseHeaders, events: events(1, 3) }, expected: 'broken', held: 'd1' },
    { name: 'a duplicated event', answer: { afterMs: 5, headers: responseHeaders, events: events(1, 1) }, expected: 'broken', held: 'd1' },
    { name: 'the response to another request', answer: { afterMs: 5, headers: { ...responseHeaders, 'bulrushvalve-request-id': 'x' }, events: events(1) }, expected: 'broken', held: '' },
    { name: 'a response without a seal', answer: { afterMs: 5, headers: { 'bulrushvalve-request-id': 'i' }, events: events(1) }, expected: 'broken', held: '' },
    { name: 'a refusal', answer: { afterMs: 5, status: 503, headers: { 'bulrushvalve-not-run': '1' } }, expected: 'refused', held: '' },
    { name: 'another target at its address', answer: { afterMs: 5, status: 421 }, expected: 'refused', held: '' },
    { name: 'a failure', answer: { afterMs: 5, status: 500, headers: responseHeaders }, expected: 'failed', held: '' },
    { name: 'an item that can never be completed', answer: { afterMs: 5, status: 422, headers: responseHeaders }, expected: 'impossible', held: '' },
    { name: 'weights that are too old', answer: { afterMs: 5, headers: { ...responseHeaders, 'bulrushvalve-weight-versions': '1' }, events: events(1) }, expected: 'too-old', held: '' },
    { name: 'a broken connection', answer: { afterMs: 5, failure: 'unknownOutcome' }, expected: 'broken', held: '' }
  ] as const) {
    it(`ends as ${expected} after ${name}`, async () => {
      const { end, text } = await run(answer as ScriptedAnswer)
      expect([end.type, text.text]).to.deep.equal([expected, held])
    })
  }

  it('does not wait for an engine that sends nothing', async () => {
    const first = await run({ afterMs: Number.POSITIVE_INFINITY })
    expect([first.end.type, first.tookMs]).to.deep.equal(['broken', 1000])
    const later = await run({ afterMs: 5, headers: responseHeaders, events: [...events(1, 2) ?? [], { afterMs: 60_000, raw: '' }] })
    expect([later.end.type, later.tookMs]).to.deep.equal(['broken', 565])
  })

  it('cancels the request to the engine when it is cancelled', async () => {
    const { sent, tookMs } = await run({ afterMs: 5, headers: responseHeaders, events: events(...Array.from({ length: 90 }, (_, index) => index)) }, { cancelAfterMs: 200 })
    expect(tookMs).to.equal(200)
    expect((sent?.cancelledAt ?? 0) - (sent?.at ?? 0)).to.equal(200)
  })
})

describe('the progress of an item', () => {
  const part = (from: number, events: readonly string[] | readonly TextEvent[], last: number, text = 't'): ProgressPart => ({ step: 's', item: 'i', text: asTextId(text), from, events: events.flatMap((event) => typeof event === 'string' ? textEvents(1, event) : event), last })
  const known = (...records: string[]) => parseProgress(records).get(progressKey('s', 'i'))

  it('is assembled from the saved parts', () => {
    expect(known(encodeProgress([part(0, ['a', 'b'], 1)]), encodeProgress([part(2, textEvents(2, 'c'), 2)]))).to.deep.equal({ events: [...textEvents(1, 'a', 'b'), ...textEvents(2, 'c')], last: 2 })
  })

  it('follows a run that was restarted', () => {
    expect(known(encodeProgress([part(0, ['a', 'b', 'c'], 2)]), encodeProgress([part(0, textEvents(3, 'x'), 0, 'u')]))).to.deep.equal({ events: textEvents(3, 'x'), last: 0 })
  })

  it('is not shortened by a repeated or late part', () => {
    const whole = { events: [...textEvents(1, 'a', 'b'), ...textEvents(2, 'c')], last: 2 }
    expect(known(encodeProgress([part(0, ['a', 'b'], 1)]), encodeProgress([part(1, [...textEvents(1, 'b'), ...textEvents(2, 'c')], 2)]), encodeProgress([part(0, ['a', 'b'], 1)]))).to.deep.equal(whole)
  })

  it('consists of one text, even if its parts are interleaved with those of another', () => {
    expect(known(encodeProgress([part(0, ['a'], 0)]), encodeProgress([part(0, ['a', 'b'], 1, 'u')]), encodeProgress([part(1, ['x', 'y'], 2)]), encodeProgress([part(2, ['c'], 2, 'u')]))?.events).to.deep.equal(textEvents(1, 'a', 'b', 'c'))
  })

  it('is saved in full again before its first part expires', () => {
    // Guards against an item that starts over after a takeover because it ran longer than progress is retained: the first
    // part of its text was trimmed, and the later parts cannot be used without it.
    const text = newText()
    text.add({ id: 1, data: 'a', version: 1 })
    const first = text.unsavedPart(0)
    if (first !== undefined) text.markSaved(first, 0)
    text.add({ id: 2, data: 'b', version: 1 })
    expect([text.unsavedPart(FULL_SAVE_AGE_MS - 1)?.from, text.unsavedPart(FULL_SAVE_AGE_MS)?.from]).to.deep.equal([1, 0])
    expect(FULL_SAVE_AGE_MS).to.be.below(PROGRESS_RETENTION_MS)
  })

  it('ends before a gap', () => {
    // Guards against a text with missing events in the middle: one save was lost, and the next was appended as if it followed.
    expect(known(encodeProgress([part(0, ['a'], 0)]), encodeProgress([part(2, ['c'], 2)]))).to.deep.equal({ events: textEvents(1, 'a'), last: 0 })
  })

  it('skips records that cannot be parsed', () => {
    expect(known('{', '[{"step":1}]', encodeProgress([part(0, ['a'], 0)]))?.events).to.deep.equal(textEvents(1, 'a'))
  })

  it('names no version of an event that was left out', () => {
    // Guards against a sample that names a version of the weights which generated none of its events.
    const events = [...textEvents(5, 'a', 'b'), ...textEvents(6, 'c')]
    const text = newText()
    text.restore(withoutNewestEvents({ events, last: 2 }, 1))
    expect(text.versions).to.deep.equal([5])
    text.beginRun(5)
    text.add({ id: 2, data: 'c', version: undefined })
    expect(text.versions).to.deep.equal([5])
  })

  it('is read from records that name the versions of all events of a text, as far as these are certain', () => {
    // Guards against an item that starts over, or names a wrong version, after a host of a former release has saved its text.
    const former = (from: number, data: readonly string[], last: number, versions: readonly number[]): string => JSON.stringify([{ step: 's', item: 'i', text: 't', from, events: data, last, versions }])
    const prefix = { events: textEvents(5, 'a', 'b'), last: 1 }
    expect(known(former(0, ['a', 'b'], 1, [5]))).to.deep.equal(prefix)
    expect(known(former(0, ['a', 'b'], 1, [5]), former(2, ['c', 'd'], 3, [5, 6]), former(4, ['e'], 4, [5, 6]))).to.deep.equal(prefix)
    expect(known(former(0, ['a', 'b', 'c'], 2, [5, 6]))).to.equal(undefined)
    expect(known(former(0, ['a'], 0, []))).to.deep.equal({ events: [{ data: 'a', version: undefined }], last: 0 })
  })

  it('is saved once', () => {
    let ids = 0
    const text = new ItemText(() => asTextId(`t${ids++}`))
    text.beginRun(1)
    for (const id of [4, 5]) text.add({ id, data: `d${id}`, version: undefined })
    const first = text.unsavedPart(0)
    expect(first).to.deep.equal({ text: 't0', from: 0, events: textEvents(1, 'd4', 'd5'), last: 5 })
    if (first !== undefined) text.markSaved(first, 0)
    expect(text.unsavedPart(1)).to.equal(undefined)
    text.add({ id: 6, data: 'd6', version: 2 })
    expect(text.unsavedPart(1)).to.deep.equal({ text: 't0', from: 2, events: textEvents(2, 'd6'), last: 6 })
    text.clear()
    expect(text.unsavedPart(1)).to.equal(undefined)
    text.add({ id: 4, data: 'd4', version: 2 })
    expect(text.unsavedPart(1)).to.deep.equal({ text: 't1', from: 0, events: textEvents(2, 'd4'), last: 4 })
  })
})
