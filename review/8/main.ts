/** A model worker whose answers have no length is killed in the middle of the first event of a stream that another worker could resume. */

import type { ChildProcess } from 'node:child_process'
import { spawn } from 'node:child_process'
import { freePorts } from '../../test/support/hostProcess.ts'
import { HOST_NAME } from '../support-2/deployment.ts'
import { bounds, configuration, deployment, pause, run } from '../support-2/case.ts'

const WORKER = 'target/review-2/case-8-worker.cjs'
const EVENTS = 5
/** Time between the two halves of a worker's answer, and time from its first half until it is killed. */
const PAUSE_MS = 1000
const KILL_AFTER_MS = 200
const STREAMS = 3

const route = { name: 'draft-stream', host: HOST_NAME, path_prefix: '/pubo417/', route_type: 'streaming', resumable: true, timeout_ms: 10_000, slo_ms: 400, priority: 1, service: 'stream-drafter', attempts: 3 }
const service = { name: 'stream-drafter', health_path: '/health', max_conns: 150, protocol: 'h1', tls: false, engine: { slots: 8, kv_cap_tokens: 45_164, models: [] } }

run({
  options: { ...deployment, configuration: { ...configuration, routes: [...configuration.routes, route], services: [...configuration.services, service] } },
  play: async ({ hosts, store }, journal, trouble) => {
    const workers: ChildProcess[] = []
    process.once('exit', () => { for (const worker of workers) worker.kill('SIGKILL') })
    const ports = await freePorts(2)
    let killNext = false
    const start = async (index: number, life: number): Promise<void> => {
      const id = `i-stream-${index}-${life}`
      const port = ports[index] ?? 0
      const worker = spawn(process.execPath, [WORKER, String(port), String(PAUSE_MS), String(EVENTS)], { stdio: ['ignore', 'pipe', 'inherit'] })
      workers.push(worker)
      await new Promise<void>((resolve) => {
        worker.stdout.on('data', (data: Buffer) => {
          const text = data.toString().trim()
          journal.write(`worker ${id}: ${text}`)
          if (text.includes('listening')) resolve()
          if (!text.includes('began') || !killNext) return
          killNext = false
          setTimeout(() => {
            worker.kill('SIGKILL')
            journal.write(`worker ${id} killed`)
          }, KILL_AFTER_MS)
        })
      })
      store.put('keyed.servers', id, { service: service.name, addr: `127.0.0.1:${port}`, zone: `zone-${index}`, version: 'v1', slots: 8, state: 'ready', cold_left_ms: 0, seq: 1 })
    }
    await Promise.all([start(0, 0), start(1, 0)])
    await pause(bounds.stableMs)
    let cut = 0
    for (let index = 0; index < STREAMS; index++) {
      killNext = trouble
      const id = `9c41d07be2a35f6${index}`
      const host = hosts[index % hosts.length]
      const reply = await host?.call({ path: '/pubo417/2f', id, headers: { 'bulrushvalve-deadline-ms': '8000' }, body: 'x' })
      const whole = Array.from({ length: EVENTS }, (_, number) => `id: ${number}\ndata: piece ${number} of ${id}\n\n`).join('')
      journal.write(`stream ${id} at ${host?.name ?? ''}: ${reply?.status ?? reply?.error ?? ''} after ${reply?.tookMs ?? 0} ms, ${JSON.stringify(reply?.text)}`)
      if (reply?.status === 200 && reply.text !== whole) cut++
      if (!trouble) continue
      // The platform removes the entry of a worker that has crashed, and starts a new one.
      for (const [number, worker] of workers.entries()) {
        if (worker.signalCode === null || number !== workers.findLastIndex((each) => each.spawnargs[2] === worker.spawnargs[2])) continue
        const slot = ports.findIndex((port) => String(port) === worker.spawnargs[2])
        for (const [key] of store.newest('keyed.servers')) if (key.startsWith(`i-stream-${slot}-`)) store.put('keyed.servers', key, undefined)
        await start(slot, index + 1)
        break
      }
      await pause(bounds.stableMs)
    }
    return { broken: cut > 0, why: `ORDER: ${cut} of ${STREAMS} streams ended as complete before their last piece` }
  }
})
