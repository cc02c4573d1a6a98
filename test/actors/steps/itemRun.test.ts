/** One item at one engine that streams, tears, lies or falls silent. */

import { expect } from 'chai'
import { EngineBoard } from '../../../src/actors/common/steps/engineBoard.ts'
import type { RunEnd } from '../../../src/actors/common/steps/itemRun.ts'
import { runItem } from '../../../src/actors/common/steps/itemRun.ts'
import { ItemText } from '../../../src/actors/common/steps/itemText.ts'
import { TargetTable } from '../../../src/actors/common/routes/targetTable.ts'
import { RouteTable } from '../../../src/core/common/routes/routeConfiguration.ts'
import { asTextId } from '../../../src/base/common/ids.ts'
import { PROGRESS_RETENTION_MS, FULL_SAVE_AGE_MS, encodeProgress, progressKey, parseProgress } from '../../../src/core/common/steps/progress.ts'
import { targetProtocol } from '../../../platform/index.ts'
import { quietLog } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { targetDefinition } from '../../support/routes.ts'
import type { ScriptedAnswer, SentRequest } from '../../support/scriptedClient.ts'
import { ScriptedClient } from '../../support/scriptedClient.ts'
import { item } from '../../support/steps.ts'
import { newText } from '../../support/texts.ts'
import { watchEnds } from '../../support/targetEnds.ts'

const own = { 'bulrushvalve-request-id': 'i', 'bulrushvalve-response-seal': 's', 'bulrushvalve-weight-versions': '3' }
const event = (id: number, version?: number): string => `${version === undefined ? '' : `bulrushvalve-weight-versions: ${version}\n`}id: ${id}\ndata: d${id}\n\n`
const events = (...ids: number[]): ScriptedAnswer['events'] => ids.map((id) => ({ afterMs: 30, raw: event(id) }))

async function run (answer: ScriptedAnswer, { text = newText(), minimumVersion = 2, cancelAfterMs = Number.POSITIVE_INFINITY } = {}): Promise<{ end: RunEnd, text: ItemText, sent: SentRequest | undefined, version: number, tookMs: number, firstMs: number }> {
  const clock = new ManualClock()
  const table = new TargetTable({ clock, stateLog: quietLog })
  table.set(targetDefinition({ id: 'e', service: 'engines', address: 'e', models: [{ model: 'm', version: 2 }] }))
  const routes = new RouteTable({ version: 1, routes: [], services: [{ name: 'engines', maximumConnections: 9, engine: { slots: 4, models: ['m'] } }], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
  const [engine] = new EngineBoard(table, clock, () => routes).all()
  if (engine === undefined) throw new Error('no engine')
  const client = new ScriptedClient(clock, { e: [answer] })
  const cancel = new AbortController()
  if (Number.isFinite(cancelAfterMs)) clock.after(cancelAfterMs, () => { cancel.abort() })
  let tookMs = Number.POSITIVE_INFINITY
  let firstMs = Number.POSITIVE_INFINITY
  const began = clock.now
  const ended = runItem({ client, protocol: targetProtocol, clock, ends: watchEnds(table, client, clock) }, engine, item('i', 'g'), text, { workspace: undefined, host: 'h', model: 'm', minimumVersion, payload: item('i', 'g'), firstEventMs: 1000, silenceMs: 500, cancelled: cancel.signal, onBegin: () => { firstMs = clock.now - began } })
  ended.then(() => { tookMs = clock.now - began }).catch(() => undefined)
  await clock.advance(5000)
  return { end: await ended, text, sent: client.sent[0], version: engine.version('m'), tookMs, firstMs }
}

describe('the run of an item', () => {
  it('tells of its first event, and of no other', async () => {
    expect((await run({ afterMs: 5, headers: own, events: [{ afterMs: 5, raw: event(1) }, { afterMs: 5, raw: event(2) }] })).firstMs).to.equal(10)
    expect((await run({ afterMs: 5, headers: own, events: [] })).firstMs).to.equal(Number.POSITIVE_INFINITY)
  })

  it('collects events and the versions that made them', async () => {
    const { end, text, version } = await run({ afterMs: 5, headers: own, events: [{ afterMs: 5, raw: event(1) }, { afterMs: 5, raw: event(2, 4) }, { afterMs: 5, raw: event(3) }] })
    expect([end.type, text.text, [...text.versions], version]).to.deep.equal(['complete', 'd1\nd2\nd3', [3, 4], 4])
  })

  it('asks for what comes after the last event that is held', async () => {
    const text = newText()
    text.restore({ events: ['d1', 'd2'], last: 2, versions: [2] })
    const { end, sent } = await run({ afterMs: 5, headers: own, events: events(3, 4) }, { text })
    expect(sent?.headers.join(' ')).to.include('last-event-id 2')
    expect([end.type, text.text, [...text.versions]]).to.deep.equal(['complete', 'd1\nd2\nd3\nd4', [2, 3]])
  })

  for (const [name, numbers] of [['after a later event than it was asked to', [4, 5]], ['from the first event though it was not asked to', [1, 2, 3]], ['with the event that it was to follow', [2, 3]]] as const) {
    it(`takes nothing from an engine that goes on ${name}`, async () => {
      const text = newText()
      text.restore({ events: ['d1', 'd2'], last: 2, versions: [2] })
      const { end } = await run({ afterMs: 5, headers: own, events: events(...numbers) }, { text })
      expect([end.type, text.text, [...text.versions], text.last]).to.deep.equal(['broken', 'd1\nd2', [2], 2])
    })
  }

  for (const { name, answer, expected, held } of [
    { name: 'a torn event', answer: { afterMs: 5, headers: own, events: [...events(1, 2) ?? [], { afterMs: 5, raw: 'id: 3\nda' }], breaks: true }, expected: 'broken', held: 'd1\nd2' },
    { name: 'an end within an event', answer: { afterMs: 5, headers: own, events: [...events(1) ?? [], { afterMs: 5, raw: 'id: 2\nda' }] }, expected: 'broken', held: 'd1' },
    { name: 'a missing event', answer: { afterMs: 5, headers: own, events: events(1, 3) }, expected: 'broken', held: 'd1' },
    { name: 'an event that comes twice', answer: { afterMs: 5, headers: own, events: events(1, 1) }, expected: 'broken', held: 'd1' },
    { name: "another request's answer", answer: { afterMs: 5, headers: { ...own, 'bulrushvalve-request-id': 'x' }, events: events(1) }, expected: 'broken', held: '' },
    { name: 'an answer without a seal', answer: { afterMs: 5, headers: { 'bulrushvalve-request-id': 'i' }, events: events(1) }, expected: 'broken', held: '' },
    { name: 'a refusal', answer: { afterMs: 5, status: 503, headers: { 'bulrushvalve-not-run': '1' } }, expected: 'refused', held: '' },
    { name: 'another target at its address', answer: { afterMs: 5, status: 421 }, expected: 'refused', held: '' },
    { name: 'a failure', answer: { afterMs: 5, status: 500, headers: own }, expected: 'failed', held: '' },
    { name: 'an item that can never be done', answer: { afterMs: 5, status: 422, headers: own }, expected: 'impossible', held: '' },
    { name: 'weights that are too old', answer: { afterMs: 5, headers: { ...own, 'bulrushvalve-weight-versions': '1' }, events: events(1) }, expected: 'too-old', held: '' },
    { name: 'a broken connection', answer: { afterMs: 5, failure: 'unknownOutcome' }, expected: 'broken', held: '' }
  ] as const) {
    it(`ends as ${expected} after ${name}`, async () => {
      const { end, text } = await run(answer as ScriptedAnswer)
      expect([end.type, text.text]).to.deep.equal([expected, held])
    })
  }

  it('does not wait for an engine that says nothing', async () => {
    const first = await run({ afterMs: Number.POSITIVE_INFINITY })
    expect([first.end.type, first.tookMs]).to.deep.equal(['broken', 1000])
    const later = await run({ afterMs: 5, headers: own, events: [...events(1, 2) ?? [], { afterMs: 60_000, raw: '' }] })
    expect([later.end.type, later.tookMs]).to.deep.equal(['broken', 565])
  })

  it('ends at the engine when it is cancelled', async () => {
    const { sent, tookMs } = await run({ afterMs: 5, headers: own, events: events(...Array.from({ length: 90 }, (_, index) => index)) }, { cancelAfterMs: 200 })
    expect(tookMs).to.equal(200)
    expect((sent?.cancelledAt ?? 0) - (sent?.at ?? 0)).to.equal(200)
  })
})

describe('the progress of an item', () => {
  const part = (from: number, events: string[], last: number, versions = [1], text = 't') => ({ step: 's', item: 'i', text: asTextId(text), from, events, last, versions })
  const known = (...records: string[]) => parseProgress(records).get(progressKey('s', 'i'))

  it('is put together from what was saved', () => {
    expect(known(encodeProgress([part(0, ['a', 'b'], 1)]), encodeProgress([part(2, ['c'], 2, [1, 2])]))).to.deep.equal({ events: ['a', 'b', 'c'], last: 2, versions: [1, 2] })
  })

  it('follows the run that began anew', () => {
    expect(known(encodeProgress([part(0, ['a', 'b', 'c'], 2)]), encodeProgress([part(0, ['x'], 0, [3], 'u')]))).to.deep.equal({ events: ['x'], last: 0, versions: [3] })
  })

  it('is not shortened by a part that comes again or late', () => {
    const whole = { events: ['a', 'b', 'c'], last: 2, versions: [1, 2] }
    expect(known(encodeProgress([part(0, ['a', 'b'], 1)]), encodeProgress([part(1, ['b', 'c'], 2, [1, 2])]), encodeProgress([part(0, ['a', 'b'], 1)]))).to.deep.equal(whole)
  })

  it('is one text, wherever the parts of another stand', () => {
    expect(known(encodeProgress([part(0, ['a'], 0)]), encodeProgress([part(0, ['a', 'b'], 1, [1], 'u')]), encodeProgress([part(1, ['x', 'y'], 2)]), encodeProgress([part(2, ['c'], 2, [1], 'u')]))?.events).to.deep.equal(['a', 'b', 'c'])
  })

  it('is saved whole again before its first part may be gone', () => {
    // Symptom: after a takeover an item began anew that had run for longer than progress is kept. The
    // first part of its text was removed, and without it the later ones say nothing.
    const text = newText()
    text.add({ id: 1, data: 'a', version: 1 })
    const first = text.unsaved(0)
    if (first !== undefined) text.noteSaved(first, 0)
    text.add({ id: 2, data: 'b', version: 1 })
    expect([text.unsaved(FULL_SAVE_AGE_MS - 1)?.from, text.unsaved(FULL_SAVE_AGE_MS)?.from]).to.deep.equal([1, 0])
    expect(FULL_SAVE_AGE_MS).to.be.below(PROGRESS_RETENTION_MS)
  })

  it('does not go on after a gap', () => {
    // Symptom: a text with events missing in its middle. One save was lost, the next one was taken to follow.
    expect(known(encodeProgress([part(0, ['a'], 0)]), encodeProgress([part(2, ['c'], 2)]))).to.deep.equal({ events: ['a'], last: 0, versions: [1] })
  })

  it('passes over what cannot be read', () => {
    expect(known('{', '[{"step":1}]', encodeProgress([part(0, ['a'], 0)]))?.events).to.deep.equal(['a'])
  })

  it('is saved once', () => {
    let ids = 0
    const text = new ItemText(() => asTextId(`t${ids++}`))
    text.beginRun(1)
    for (const id of [4, 5]) text.add({ id, data: `d${id}`, version: undefined })
    const first = text.unsaved(0)
    expect(first).to.deep.equal({ text: 't0', from: 0, events: ['d4', 'd5'], last: 5, versions: [1] })
    if (first !== undefined) text.noteSaved(first, 0)
    expect(text.unsaved(1)).to.equal(undefined)
    text.add({ id: 6, data: 'd6', version: 2 })
    expect(text.unsaved(1)).to.deep.equal({ text: 't0', from: 2, events: ['d6'], last: 6, versions: [1, 2] })
    text.clear()
    expect(text.unsaved(1)).to.equal(undefined)
    text.add({ id: 4, data: 'd4', version: 2 })
    expect(text.unsaved(1)).to.deep.equal({ text: 't1', from: 0, events: ['d4'], last: 4, versions: [2] })
  })
})
