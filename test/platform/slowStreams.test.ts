/** Tests streams to callers that read slowly or not at all, with hosts as separate processes. */

import { expect } from 'chai'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { pause } from '../../standins/httpStandIn.ts'
import { usageOf } from '../../tools/bench/processUsage.ts'
import { waitUntil } from '../support/hostProcess.ts'
import { Fleet } from './support/fleet.ts'
import { eventNumbers, hasLastChunk, readStream, streamMessage } from './support/rawStreams.ts'
import type { TargetStandIn } from './support/targetStandIn.ts'

/** Limit on the memory above the idle level that a host may use for callers that read nothing. */
const MAX_EXTRA_MEGABYTES = 48
const EVENT_BYTES = 1500
/** Amounts to a stream of 30 MB. */
const LONG_STREAM_EVENTS = 20_000
const SHORT_STREAM_EVENTS = 40
/** Number of concurrent callers; the environment variable allows more in manual runs. */
const MANY_CALLERS = Number(process.env.CALLERS ?? 64)
/** Events that socket buffers hold while the caller reads nothing. */
const BUFFERED_EVENTS = 2700

describe('streams to callers that read slowly', function () {
  this.timeout(60_000)
  let fleet: Fleet
  let engine: TargetStandIn
  const openSockets: Socket[] = []

  async function start (callerTimeoutMs: number): Promise<void> {
    fleet = await Fleet.start(2, [
      { id: 'w-0', service: 'app', place: 'place-0' },
      { id: 'e-0', service: 'engines', place: 'place-0', slots: 500, engine: { models: ['m'], eventMs: 0, loadMs: 10, eventBytes: EVENT_BYTES } }
    ], { limits: { target_connections: 500, caller_pause: callerTimeoutMs } })
    engine = fleet.target('e-0')
    await waitUntil(async () => (await readStream(fleet, '1.1', 1)).text.includes(' 200 '), 5000, 'the engine is known')
    engine.runs.length = 0
  }

  afterEach(async () => {
    for (const socket of openSockets.splice(0)) socket.destroy()
    await fleet.stop()
  })

  /** Requests streams without reading them. */
  function openUnreadStreams (count: number): void {
    const { hostname, port } = new URL(fleet.host(0).address)
    for (let index = 0; index < count; index++) {
      const socket = connect({ host: hostname, port: Number(port) })
      socket.pause()
      socket.on('error', () => undefined)
      socket.write(streamMessage(fleet, index % 2 === 0 ? '1.0' : '1.1', LONG_STREAM_EVENTS))
      openSockets.push(socket)
    }
  }

  const numbersBelow = (count: number): number[] => Array.from({ length: count }, (_, number) => number)
  const residentMegabytes = (): number => usageOf(fleet.host(0).process.pid).residentMegabytes

  /** Returns the peak memory of the host above the idle level while a load runs. */
  async function measurePeakMemory (load: () => Promise<void>): Promise<number> {
    const baseline = residentMegabytes()
    let peak = baseline
    const watch = setInterval(() => { peak = Math.max(peak, residentMegabytes()) }, 50)
    try {
      await load()
    } finally {
      clearInterval(watch)
    }
    return peak - baseline
  }

  /** Serves normal callers while others read nothing. */
  async function serveBesideUnreadStreams (callers: number): Promise<void> {
    openUnreadStreams(callers)
    await waitUntil(() => engine.runs.length >= callers, 30_000, 'all streams run')
    for (let round = 0; round < 10; round++) {
      const [stream, answer] = await Promise.all([readStream(fleet, '1.1', SHORT_STREAM_EVENTS), fleet.call(fleet.host(0), '/look-up/x')])
      expect([eventNumbers(stream.text), answer.status]).to.deep.equal([numbersBelow(SHORT_STREAM_EVENTS), 200])
      await pause(100)
    }
    expect(fleet.host(0).process.isRunning).to.equal(true)
  }

  it('use little memory of a host if eight callers read nothing, and other callers are served', async () => {
    // Guards against a host that buffers without limit what targets send to callers that do not read.
    await start(60_000)
    expect(await measurePeakMemory(async () => { await serveBesideUnreadStreams(8) })).to.be.below(MAX_EXTRA_MEGABYTES)
  })

  it(`use about as much memory if ${MANY_CALLERS} callers read nothing as if all of them read`, async () => {
    // Guards against the same failure with many callers.
    await start(60_000)
    const taken = await measurePeakMemory(async () => { await serveBesideUnreadStreams(MANY_CALLERS) })
    for (const socket of openSockets.splice(0)) socket.destroy()
    await fleet.stop()
    await start(60_000)
    const usual = await measurePeakMemory(async () => { await Promise.all(Array.from({ length: MANY_CALLERS }, async () => { await readStream(fleet, '1.1', BUFFERED_EVENTS) })) })
    expect(taken - usual, `${taken.toFixed(1)} and ${usual.toFixed(1)} MB`).to.be.below(MAX_EXTRA_MEGABYTES)
  })

  it('deliver every event once to a caller that pauses and continues', async () => {
    await start(5000)
    const [older, newer] = await Promise.all([readStream(fleet, '1.0', LONG_STREAM_EVENTS, 2000), readStream(fleet, '1.1', LONG_STREAM_EVENTS, 2000)])
    expect([eventNumbers(older.text), older.end]).to.deep.equal([numbersBelow(LONG_STREAM_EVENTS), 'ended'])
    expect([eventNumbers(newer.text), hasLastChunk(newer)]).to.deep.equal([numbersBelow(LONG_STREAM_EVENTS), true])
    expect(engine.runs.map(({ ended }) => ended)).to.deep.equal(['answered', 'answered'])
  })

  it('are aborted together with their runs if a caller reads nothing for too long', async () => {
    // Guards against a slot of a target that stays occupied for a caller that has disappeared without closing its connection.
    await start(5000)
    const began = Date.now()
    const late = Promise.all([readStream(fleet, '1.0', LONG_STREAM_EVENTS, 7000), readStream(fleet, '1.1', LONG_STREAM_EVENTS, 7000)])
    await waitUntil(() => engine.runs.length === 2 && engine.runs.every(({ ended }) => ended === 'dropped'), 8000, 'both runs are dropped')
    for (const { droppedAt = 0 } of engine.runs) expect(droppedAt - began).to.be.within(5000, 6000)
    const [older, newer] = await late
    expect([older.end, hasLastChunk(newer)]).to.deep.equal(['reset', false])
    expect(fleet.host(0).process.output).to.match(/stream given up.*"bytes":\d+.*"waitedMs":5\d{3}/)
  })
})
