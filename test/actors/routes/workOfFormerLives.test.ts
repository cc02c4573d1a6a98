/** Calls, streams and items' runs that are under way at a target when it starts again. */

import { expect } from 'chai'
import { allMechanisms } from '../../../src/core/common/mechanisms.ts'
import { RouteCalls } from '../../../src/actors/common/routes/routeCalls.ts'
import type { RouteCallServices } from '../../../src/actors/common/routes/routedRequest.ts'
import { StreamCalls } from '../../../src/actors/common/routes/streamCalls.ts'
import { TargetTable } from '../../../src/actors/common/routes/targetTable.ts'
import { EngineRegistry } from '../../../src/actors/common/steps/engineRegistry.ts'
import { runItem } from '../../../src/actors/common/steps/itemRun.ts'
import { asIncarnation } from '../../../src/base/common/ids.ts'
import type { Route } from '../../../src/core/common/routes/routeConfiguration.ts'
import { RouteTable } from '../../../src/core/common/routes/routeConfiguration.ts'
import { targetProtocol } from '../../../platform/index.ts'
import { quietLog, quietMetrics } from '../../support/fakeHost.ts'
import { ManualClock, seededChance } from '../../support/manualClock.ts'
import { route, targetDefinition } from '../../support/routes.ts'
import type { ScriptedAnswer } from '../../support/scriptedClient.ts'
import { ScriptedClient } from '../../support/scriptedClient.ts'
import { item } from '../../support/steps.ts'
import { newText } from '../../support/texts.ts'
import { guards } from '../../support/targetEnds.ts'

/** When the target starts again, in milliseconds after the request: long before anybody would miss its answer. */
const RESTART_MS = 50
const own = { 'bulrushvalve-request-id': 'r', 'bulrushvalve-response-seal': 's' }
const silent: ScriptedAnswer = { afterMs: Number.POSITIVE_INFINITY }
const good: ScriptedAnswer = { afterMs: 20, headers: own }
const event = (id: number): { afterMs: number, raw: string } => ({ afterMs: 10, raw: `id: ${id}\ndata: d${id}\n\n` })
const pause = { afterMs: 60_000, raw: '' }

class Scene {
  readonly clock = new ManualClock()
  readonly table = new TargetTable({ clock: this.clock, stateLog: quietLog })
  readonly client: ScriptedClient
  readonly services: RouteCallServices

  constructor (targets: Readonly<Record<string, readonly ScriptedAnswer[]>>) {
    this.client = new ScriptedClient(this.clock, targets)
    for (const id of Object.keys(targets)) this.start(id, 1)
    for (const id of Object.keys(targets)) if (id !== 'a') this.table.get(id)?.answered(500)
    this.services = { targets: this.table, client: this.client, ...guards(this.table, this.client, this.clock), protocol: targetProtocol, clock: this.clock, chance: seededChance(3), metrics: quietMetrics, stateLog: quietLog, place: 'here', mechanisms: allMechanisms }
  }

  start (id: string, incarnation: number): void {
    this.table.set(targetDefinition({ id, incarnation: asIncarnation(incarnation), address: id, models: [{ model: 'm', version: 2 }] }))
  }

  /** Has the target `a` start again while the work is under way, and tells when the work ended. */
  async timed<Value> (work: Promise<Value>): Promise<{ value: Value, tookMs: number }> {
    const began = this.clock.now
    let ended = Number.POSITIVE_INFINITY
    work.then(() => { ended = this.clock.now }).catch(() => undefined)
    this.clock.after(RESTART_MS, () => { this.start('a', 2) })
    await this.clock.advance(3000)
    return { value: await work, tookMs: ended - began }
  }

  request (details: Partial<Route>) {
    return { route: route({ objectiveMs: 2000, ...details }), requestId: 'r', method: 'POST', path: '/a/', headers: (options: Parameters<typeof targetProtocol.forwardHeaders>[1]) => targetProtocol.forwardHeaders([], options, { type: 'open' }), body: undefined, waitMs: 2000, configuration: 1, background: false, gone: new AbortController().signal }
  }

  get asked (): string[] {
    return this.client.sent.map(({ address }) => address)
  }
}

describe('work at a target that starts again', () => {
  it('of calls ends at once: what may be repeated goes elsewhere, what may not is never sent again', async () => {
    // Symptom: callers waited for their whole time though the target had told that it had started again.
    // The connection of the former life was silent, and nothing ended the requests on it.
    const repeatable = new Scene({ a: [silent], b: [good] })
    const call = await repeatable.timed(new RouteCalls(repeatable.services).call(repeatable.request({})))
    expect([call.value.ok && call.value.value.target, call.tookMs, repeatable.asked]).to.deep.equal(['b', RESTART_MS + 20, ['a', 'b']])
    const once = new Scene({ a: [silent], b: [good] })
    const onceCall = await once.timed(new RouteCalls(once.services).call(once.request({ kind: 'once-only' })))
    expect([onceCall.value.ok ? '' : onceCall.value.code, onceCall.tookMs, once.asked]).to.deep.equal(['unknownOutcome', RESTART_MS, ['a']])
    for (const { table } of [repeatable, once]) expect([table.get('a')?.inFlight, table.get('a')?.suspect]).to.deep.equal([0, false])
  })

  it('of streams and items goes on elsewhere after the last event', async () => {
    // Symptom: an item lay idle for the longest silence that an engine is allowed, though the engine's
    // entry had told of another start long before.
    const stream = new Scene({ a: [{ afterMs: 5, headers: own, events: [event(0), event(1), pause] }], b: [{ afterMs: 5, headers: own, events: [event(2)] }] })
    let text = ''
    const served = await stream.timed(new StreamCalls(stream.services, 5000).call({ ...stream.request({ kind: 'streaming', resumable: true, objectiveMs: 200 }), resumeAfter: undefined }, { head: () => undefined, write: (piece) => { text += new TextDecoder().decode(piece); return undefined }, end: () => { text += 'end' }, cut: () => { text += 'cut' } }))
    expect([served.value, served.tookMs, text.match(/d\d|end|cut/g), stream.asked]).to.deep.equal([undefined, RESTART_MS + 15, ['d0', 'd1', 'd2', 'end'], ['a', 'b']])

    const run = new Scene({ a: [{ afterMs: 5, headers: { 'bulrushvalve-request-id': 'i', 'bulrushvalve-response-seal': 's', 'bulrushvalve-weight-versions': '3' }, events: [event(0), event(1), pause] }] })
    const [engine] = new EngineRegistry(run.table, run.clock, () => new RouteTable({ version: 1, routes: [], services: [{ name: 's', maximumConnections: 9, engine: { slots: 4, models: ['m'] } }], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })).all()
    if (engine === undefined) throw new Error('no engine')
    const held = newText()
    const ended = await run.timed(runItem(run.services, engine, item('i', 'g'), held, { workspace: undefined, host: 'h', model: 'm', minimumVersion: 1, payload: item('i', 'g'), firstEventTimeoutMs: 1000, silenceTimeoutMs: 500, cancelled: new AbortController().signal, onFirstEvent: () => undefined }))
    expect([ended.value, ended.tookMs, held.text, [...held.versions]]).to.deep.equal([{ type: 'restarted' }, RESTART_MS, 'd0\nd1', [3]])
  })
})
