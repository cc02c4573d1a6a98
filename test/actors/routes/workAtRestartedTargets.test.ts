/** Calls, streams and item runs that are in progress at a target when it restarts. */

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
import { noopStateLog, noopMetrics } from '../../support/fakeHost.ts'
import { ManualClock, newSeededChance } from '../../support/manualClock.ts'
import { newRoute, newTargetDefinition } from '../../support/routes.ts'
import type { ScriptedAnswer } from '../../support/scriptedClient.ts'
import { ScriptedClient } from '../../support/scriptedClient.ts'
import { newItem } from '../../support/steps.ts'
import { newText } from '../../support/texts.ts'
import { newCrashGuards } from '../../support/targetEnds.ts'

/** Time of the target's restart after the request, long before its answer would be considered late. */
const RESTART_MS = 50
const ownHeaders = { 'bulrushvalve-request-id': 'r', 'bulrushvalve-response-seal': 's' }
const silent: ScriptedAnswer = { afterMs: Number.POSITIVE_INFINITY }
const good: ScriptedAnswer = { afterMs: 20, headers: ownHeaders }
const event = (id: number): { afterMs: number, raw: string } => ({ afterMs: 10, raw: `id: ${id}\ndata: d${id}\n\n` })
const longPause = { afterMs: 60_000, raw: '' }

class Fixture {
  readonly clock = new ManualClock()
  readonly table = new TargetTable({ clock: this.clock, stateLog: noopStateLog })
  readonly client: ScriptedClient
  readonly services: RouteCallServices

  constructor (targets: Readonly<Record<string, readonly ScriptedAnswer[]>>) {
    this.client = new ScriptedClient(this.clock, targets)
    for (const id of Object.keys(targets)) this.start(id, 1)
    for (const id of Object.keys(targets)) if (id !== 'a') this.table.get(id)?.recordAnswerTime(500)
    this.services = { targets: this.table, client: this.client, ...newCrashGuards(this.table, this.client, this.clock), protocol: targetProtocol, clock: this.clock, chance: newSeededChance(3), metrics: noopMetrics, stateLog: noopStateLog, place: 'here', mechanisms: allMechanisms }
  }

  start (id: string, incarnation: number): void {
    this.table.set(newTargetDefinition({ id, incarnation: asIncarnation(incarnation), address: id, models: [{ model: 'm', version: 2 }] }))
  }

  /** Restarts target `a` while the work is in progress, and measures when the work ended. */
  async measureWithRestart<Value> (work: Promise<Value>): Promise<{ value: Value, tookMs: number }> {
    const began = this.clock.now
    let ended = Number.POSITIVE_INFINITY
    work.then(() => { ended = this.clock.now }).catch(() => undefined)
    this.clock.after(RESTART_MS, () => { this.start('a', 2) })
    await this.clock.advance(3000)
    return { value: await work, tookMs: ended - began }
  }

  request (details: Partial<Route>) {
    return { route: newRoute({ objectiveMs: 2000, ...details }), requestId: 'r', method: 'POST', path: '/a/', headers: (options: Parameters<typeof targetProtocol.forwardHeaders>[1]) => targetProtocol.forwardHeaders([], options, { type: 'open' }), body: undefined, waitMs: 2000, configuration: 1, background: false, gone: new AbortController().signal }
  }

  get requestedAddresses (): string[] {
    return this.client.sent.map(({ address }) => address)
  }
}

describe('work at a target that restarts', () => {
  it('of calls ends at once: idempotent calls go to another target, once-only calls are never sent again', async () => {
    // Guards against callers that wait for their whole time although the target has announced its restart:
    // the connection to the former incarnation was silent, and nothing aborted the requests on it.
    const repeatable = new Fixture({ a: [silent], b: [good] })
    const call = await repeatable.measureWithRestart(new RouteCalls(repeatable.services).call(repeatable.request({})))
    expect([call.value.ok && call.value.value.target, call.tookMs, repeatable.requestedAddresses]).to.deep.equal(['b', RESTART_MS + 20, ['a', 'b']])
    const once = new Fixture({ a: [silent], b: [good] })
    const onceCall = await once.measureWithRestart(new RouteCalls(once.services).call(once.request({ kind: 'once-only' })))
    expect([onceCall.value.ok ? '' : onceCall.value.code, onceCall.tookMs, once.requestedAddresses]).to.deep.equal(['unknownOutcome', RESTART_MS, ['a']])
    for (const { table } of [repeatable, once]) expect([table.get('a')?.inFlight, table.get('a')?.suspect]).to.deep.equal([0, false])
  })

  it('of streams and items resumes elsewhere after the last event', async () => {
    // Guards against an item that idles for the longest silence allowed to an engine although the engine's
    // entry announced a restart long before.
    const stream = new Fixture({ a: [{ afterMs: 5, headers: ownHeaders, events: [event(0), event(1), longPause] }], b: [{ afterMs: 5, headers: ownHeaders, events: [event(2)] }] })
    let text = ''
    const served = await stream.measureWithRestart(new StreamCalls(stream.services, 5000).call({ ...stream.request({ kind: 'streaming', resumable: true, objectiveMs: 200 }), resumeAfter: undefined }, { writeHead: () => undefined, write: (piece) => { text += new TextDecoder().decode(piece); return undefined }, end: () => { text += 'end' }, abort: () => { text += 'cut' } }))
    expect([served.value, served.tookMs, text.match(/d\d|end|cut/g), stream.requestedAddresses]).to.deep.equal([undefined, RESTART_MS + 15, ['d0', 'd1', 'd2', 'end'], ['a', 'b']])

    const run = new Fixture({ a: [{ afterMs: 5, headers: { 'bulrushvalve-request-id': 'i', 'bulrushvalve-response-seal': 's', 'bulrushvalve-weight-versions': '3' }, events: [event(0), event(1), longPause] }] })
    const [engine] = new EngineRegistry(run.table, run.clock, () => new RouteTable({ version: 1, routes: [], services: [{ name: 's', maximumConnections: 9, engine: { slots: 4, models: ['m'] } }], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })).all()
    if (engine === undefined) throw new Error('no engine')
    const held = newText()
    const ended = await run.measureWithRestart(runItem(run.services, engine, newItem('i', 'g'), held, { workspace: undefined, host: 'h', model: 'm', minimumVersion: 1, payload: newItem('i', 'g'), firstEventTimeoutMs: 1000, silenceTimeoutMs: 500, cancelled: new AbortController().signal, onFirstEvent: () => undefined }))
    expect([ended.value, ended.tookMs, held.text, held.versions]).to.deep.equal([{ type: 'restarted' }, RESTART_MS, 'd0\nd1', [3]])
  })
})
