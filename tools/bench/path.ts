/**
 * Measures the overhead of an entry host: latency and processor time of streamed completions over a direct
 * connection to the engine, through a minimal forwarder, and through an entry host, and the memory per open stream.
 */

import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { request } from 'undici'
import { keys } from '../../test/support/hostProcess.ts'
import { startTestPlatform } from '../../test/support/platform.ts'
import { usageOf } from './processUsage.ts'
import type { Experiment } from './report.ts'
import { spread } from './report.ts'

const RUNS_PER_VARIANT = 3
const REQUESTS_PER_RUN = 400
const CONCURRENT_REQUESTS = 16
const OPEN_STREAM_COUNT = 200

/** Streams one completion to its end. Returns its duration and its number of events. */
async function streamOnce (url: string, body: object): Promise<{ ms: number, events: number }> {
  const began = performance.now()
  const answer = await request(url, { method: 'POST', headers: { 'content-type': 'application/json', authorization: `Bearer ${keys.caller}` }, body: JSON.stringify(body) })
  const text = await answer.body.text()
  if (answer.statusCode !== 200) throw new Error(`request failed with status ${answer.statusCode}: ${text}`)
  return { ms: performance.now() - began, events: text.split('\n\n').length }
}

/** Sends `REQUESTS_PER_RUN` requests, `CONCURRENT_REQUESTS` at a time. */
async function runLoad (url: string, body: (index: number) => object): Promise<{ p50: number, p99: number, perSecond: number, events: number }> {
  const times: number[] = []
  let events = 0
  let next = 0
  const began = performance.now()
  await Promise.all(Array.from({ length: CONCURRENT_REQUESTS }, async () => {
    while (next < REQUESTS_PER_RUN) {
      const outcome = await streamOnce(url, body(next++))
      times.push(outcome.ms)
      events += outcome.events
    }
  }))
  const seconds = (performance.now() - began) / 1000
  times.sort((a, b) => a - b)
  return { p50: times[Math.floor(times.length / 2)] ?? 0, p99: times[Math.floor(times.length * 0.99)] ?? 0, perSecond: times.length / seconds, events }
}

const FORWARDER_SCRIPT = `
const { createServer } = require('node:http'); const { Pool } = require('undici');
const pool = new Pool(process.argv[1], { connections: 64 });
const server = createServer(async (q, s) => { const a = await pool.request({ method: q.method, path: '/v1/completions', headers: { 'content-type': 'application/json' }, body: q }); s.writeHead(a.statusCode, { 'content-type': 'text/event-stream' }); a.body.pipe(s) });
server.listen(0, '127.0.0.1', () => console.log(server.address().port));`

export async function measurePath (): Promise<Experiment> {
  const platform = await startTestPlatform({ engines: 1, places: ['Abdali'], engine: { slots: 256, stepMs: 1, tokensPerStep: 4, answerTokens: 100, prefillMs: 0 } })
  const cluster = await platform.startCluster([{ name: 'abdali-1', place: 'Abdali' }])
  const forwarder = spawn(process.execPath, ['-e', FORWARDER_SCRIPT, platform.engines[0]?.address ?? ''], { stdio: ['ignore', 'pipe', 'inherit'] })
  try {
    await platform.configure(cluster)
    await cluster.execute('set lane desk callerLimit 1000')
    const [port] = await once(forwarder.stdout, 'data') as [Buffer]
    const engineBody = (index: number): object => ({ id: `id-${index}`, prompt: `prompt ${index}`, max_tokens: 100, priority: 0 })
    const hostBody = (index: number): object => ({ prompt: `prompt ${index}`, max_tokens: 100, stream: true })
    const variants = [
      { way: 'direct', url: `${platform.engines[0]?.address ?? ''}/v1/completions`, body: engineBody, pid: undefined },
      { way: 'bare forwarder', url: `http://127.0.0.1:${port.toString().trim()}/v1/completions`, body: engineBody, pid: forwarder.pid },
      { way: 'entry host', url: `${cluster.host(0).address}/v1/lanes/desk/completions`, body: hostBody, pid: cluster.host(0).pid }
    ]
    const figures: Record<string, unknown>[] = []
    const points: { series: string, x: string, y: number }[] = []
    for (const { way, url, body, pid } of variants) {
      await runLoad(url, body)
      const runs: { p50: number, p99: number, perSecond: number, processorMsPerRequest: number, microsecondsPerEvent: number }[] = []
      for (let run = 0; run < RUNS_PER_VARIANT; run++) {
        const before = pid === undefined ? 0 : usageOf(pid).processorMs
        const outcome = await runLoad(url, body)
        const processorMs = pid === undefined ? 0 : usageOf(pid).processorMs - before
        runs.push({ ...outcome, processorMsPerRequest: processorMs / REQUESTS_PER_RUN, microsecondsPerEvent: processorMs * 1000 / outcome.events })
      }
      figures.push({ way, ...Object.fromEntries((['p50', 'p99', 'perSecond', 'processorMsPerRequest', 'microsecondsPerEvent'] as const).map((key) => [key, spread(runs.map((run) => run[key]))])) })
      points.push({ series: 'p50', x: way, y: spread(runs.map(({ p50 }) => p50)).median }, { series: 'p99', x: way, y: spread(runs.map(({ p99 }) => p99)).median })
    }
    const memory = await measureOpenStreams(platform.engines[0]?.engine.options as { stepMs: number }, cluster.host(0).address, cluster.host(0).pid)
    return { name: 'path', figures: { ways: figures, openStreams: memory }, plot: { title: 'Latency of a streamed completion of about 100 tokens', x: 'path', y: 'milliseconds', mark: 'bar', points } }
  } finally {
    forwarder.kill('SIGKILL')
    await cluster.stop()
    await platform.close()
  }
}

async function measureOpenStreams (options: { stepMs: number }, address: string, pid: number): Promise<object> {
  const before = usageOf(pid).residentMegabytes
  options.stepMs = 200
  const open = Array.from({ length: OPEN_STREAM_COUNT }, async (_, index) => await streamOnce(`${address}/v1/lanes/desk/completions`, { prompt: `open ${index}`, max_tokens: 40, stream: true }))
  await new Promise((resolve) => setTimeout(resolve, 1200))
  const during = usageOf(pid).residentMegabytes
  await Promise.all(open)
  return { streams: OPEN_STREAM_COUNT, residentBefore: before, residentDuring: during, kilobytesEach: Math.round((during - before) * 1024 / OPEN_STREAM_COUNT) }
}
