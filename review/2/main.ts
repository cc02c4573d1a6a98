/**
 * A host is stopped by SIGTERM as in a rolling restart. Requesters that keep the address answer for three times its validity, as the
 * pages say some do, go on sending to it. Their requests take 2.2 s of the 3 s that requester and route allow.
 */

import { join } from 'node:path'
import type { Ended } from '../support/deployment.ts'
import { BOUNDS, Deployment, PORTS, send } from '../support/deployment.ts'
import type { Record } from '../support/record.ts'
import { isTroubled, pause, runCase } from '../support/record.ts'
import { PlainWorker } from '../support/workers.ts'

const HOST = 'ficu95.example'
const LONG_WORK_MS = 2200
const SHORT_WORK_MS = 214
const BUDGET_MS = 3000
/** How long after the SIGTERM the requests are sent. */
const SENT_AFTER_MS = [500, 1500, 2500, 3200, 3800, 4400, 4800, 5000, 5200, 5350]
/** Requesters keep an address answer for as long as it says, some of them three times as long. */
const KEPT_FACTOR = 3
/** A request sent later than this after the SIGTERM has no excuse for the end of the grace period. */
const EXCUSED_UNTIL_MS = 3000

const configuration = {
  version: 1,
  routes: [{ name: 'ledger-sync', host: HOST, path_prefix: '/lohu930/', route_type: 'idempotent', timeout_ms: BUDGET_MS, slo_ms: 848, priority: 2, service: 'viewings-app', attempts: 4 }],
  services: [{ name: 'viewings-app', health_path: '/health', max_conns: 110 }],
  limits: { max_header_bytes: 16384, max_body_bytes: 33554432, header_timeout_ms: 3000, idle_timeout_ms: 15000 }
}

interface Call {
  readonly id: string
  readonly isLong: boolean
  readonly sentMs: number
  readonly endedMs: number
  readonly ended: Ended
}

async function call (ip: string, id: string, isLong: boolean, stoppedAt: number, record: Record): Promise<Call> {
  const sentMs = Date.now() - stoppedAt
  record.write(`requester sends ${id} to ${ip}, ${sentMs} ms after the SIGTERM`)
  const ended = await send({ ip, method: 'POST', path: `/lohu930/${isLong ? 'long' : 'short'}`, headers: { host: HOST, 'bulrushvalve-request-id': id, 'bulrushvalve-deadline-ms': String(BUDGET_MS) }, body: 'entry', timeoutMs: BUDGET_MS })
  const endedMs = Date.now() - stoppedAt
  record.write(`requester gets for ${id} after ${endedMs - sentMs} ms: ${ended.type === 'answer' ? `${ended.status}, seal ${String(ended.headers['bulrushvalve-response-seal'])}` : ended.type === 'broken' ? `channel ended: ${ended.error}` : 'nothing in its time'}`)
  return { id, isLong, sentMs, endedMs, ended }
}

await runCase(join(process.argv[2] ?? '.', 'record.txt'), async (record, cleanUp) => {
  const deployment = await Deployment.prepare(3, configuration, record)
  cleanUp(async () => { await deployment.stop() })
  const workers = await Promise.all(['i-app-1', 'i-app-2', 'i-app-3'].map(async (id, index) => await new PlainWorker({ id, service: 'viewings-app', zone: ['abdali', 'marka', 'tabarbour'][index] ?? '', slots: 6 }, deployment.store, record, (path) => path.endsWith('long') ? LONG_WORK_MS : SHORT_WORK_MS).start()))
  cleanUp(async () => { await Promise.all(workers.map(async (worker) => { await worker.stop() })) })
  await deployment.start()
  await pause(4000)

  const host = deployment.host(0)
  const resolved = await send({ ip: deployment.host(1).ip, port: PORTS.directory, method: 'GET', path: `/resolve?name=${HOST}&region=amman&zone=abdali`, timeoutMs: 1000 })
  const resolvedAt = Date.now()
  if (resolved.type !== 'answer' || resolved.status !== 200) throw new Error('no address answer')
  const { addrs, ttl_s: validSeconds } = JSON.parse(resolved.text) as { addrs: string[], ttl_s: number }
  record.write(`address answer: ${resolved.text}`)
  if (!addrs.includes(`${host.ip}:${PORTS.front}`)) throw new Error('the host is not in the address answer')
  await pause(100)

  const stoppedAt = Date.now()
  if (isTroubled) host.signal('SIGTERM')
  record.write(isTroubled ? `platform sends SIGTERM to ${host.name}` : 'platform sends no SIGTERM')
  const killer = setTimeout(() => { if (isTroubled) host.signal('SIGKILL') }, BOUNDS.grace_s * 1000)
  cleanUp(async () => { clearTimeout(killer) })
  const keptUntil = resolvedAt + validSeconds * 1000 * KEPT_FACTOR
  const calls: Promise<Call>[] = []
  for (const [index, afterMs] of SENT_AFTER_MS.entries()) {
    await pause(stoppedAt + afterMs - Date.now())
    if (Date.now() >= keptUntil) continue
    for (const isLong of [true, false]) calls.push(call(host.ip, `${isLong ? 'long' : 'short'}${index}`, isLong, stoppedAt, record))
  }
  const ended = await Promise.all(calls)
  await pause(300)

  const runs = workers.flatMap((worker) => worker.runs)
  return ended.flatMap(({ id, sentMs, endedMs, ended }): string[] => {
    const run = runs.find((each) => each.id === id)
    const isCut = ended.type === 'broken' && run !== undefined && run.ended === 'dropped' && endedMs - sentMs < BUDGET_MS
    return isCut && sentMs > EXCUSED_UNTIL_MS ? [`LOST: ${id}, sent ${sentMs} ms after the SIGTERM and run by ${run.worker}, ended without an answer at ${endedMs} ms, ${endedMs - sentMs} of its ${BUDGET_MS} ms used`] : []
  })
})
