/** Starts hosts with the command and the settings template of the deploy folder, each at an address of its own in 127.0.0.0/8. */

import type { ChildProcess } from 'node:child_process'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parse } from 'smol-toml'
import { StoreStandIn } from '../../test/platform/support/storeStandIn.ts'
import type { Record } from './record.ts'
import { pause } from './record.ts'

type Fields = { readonly [name: string]: unknown }

export const PORTS = { front: 8161, ready: 8167, control: 8166, directory: 8164 }
export const ZONES = ['abdali', 'marka', 'tabarbour']
/** Bounds of the small sites. */
export const BOUNDS = { stable_ms: 3000, ack_ms: 4000, drain_ms: 2000, grace_s: 8, lost_slack_ms: 200, config_ms: 2000, cancel_ms: 3000, settle_ms: 1000, status_s: 120, lease_ms: 3000, thaw_ms: 300, ttl_max_s: 5, require_fence: false }

function lookUp (fields: Fields, path: string): unknown {
  return path.split('.').reduce<unknown>((value, name) => (value as Fields | undefined)?.[name], fields)
}

/** Fills in a template of the platform: values, and sections over lists and present values. */
function fillIn (template: string, fields: Fields): string {
  const withSections = template.replace(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_all, path: string, inner: string) => {
    const value = lookUp(fields, path)
    if (value === undefined || value === false || value === null) return ''
    if (!Array.isArray(value)) return fillIn(inner, fields)
    return value.map((entry, index) => inner.replaceAll('{{.}}', String(entry)).replaceAll('{{,}}', index < value.length - 1 ? ',' : '')).join('')
  })
  return withSections.replace(/\{\{([\w.]+)\}\}/g, (_all, path: string) => String(lookUp(fields, path) ?? ''))
}

export class Host {
  private child: ChildProcess | undefined
  private exited = true

  constructor (readonly name: string, readonly ip: string, private readonly command: readonly string[], private readonly logPath: string) {}

  start (): void {
    const [program = '', ...words] = this.command
    const log = createWriteStream(this.logPath, { flags: 'a' })
    const child = spawn(program, words, { stdio: ['ignore', 'pipe', 'pipe'], env: { PATH: process.env['PATH'], HOME: process.env['HOME'], LANG: process.env['LANG'] } })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    this.exited = false
    const kill = (): void => { child.kill('SIGKILL') }
    process.once('exit', kill)
    child.once('exit', () => {
      this.exited = true
      process.removeListener('exit', kill)
    })
    this.child = child
  }

  get isRunning (): boolean {
    return !this.exited
  }

  signal (name: NodeJS.Signals): void {
    if (!this.exited) this.child?.kill(name)
  }

  async kill (): Promise<void> {
    if (this.exited || this.child === undefined) return
    const ended = once(this.child, 'exit')
    this.child.kill('SIGCONT')
    this.child.kill('SIGKILL')
    await ended
  }
}

export class Deployment {
  private constructor (readonly store: StoreStandIn, readonly hosts: readonly Host[], readonly folder: string) {}

  /** Writes the settings of the hosts. The operator's first configuration is in the store before they start. */
  static async prepare (count: number, configuration: object, record: Record): Promise<Deployment> {
    const store = new StoreStandIn()
    const endpoint = await store.openEndpoint()
    store.put('keyed.op', 'config', configuration)
    const folder = mkdtempSync(join(tmpdir(), 'review-'))
    const network = `127.${10 + process.pid % 200}.${1 + Math.floor(process.pid / 200) % 250}`
    const { run, template } = (parse(readFileSync('deploy/system.toml', 'utf8')) as { roles: { host: { run: string, template: string } } }).roles.host
    const ips = Array.from({ length: count }, (_, index) => `${network}.${index + 1}`)
    const hosts = ips.map((ip, index) => {
      const zone = ZONES[index % ZONES.length] ?? ''
      const name = `front-${zone}-${Math.floor(index / ZONES.length) + 1}`
      const listen = Object.fromEntries(Object.entries(PORTS).map(([role, port]) => [role, `${ip}:${port}`]))
      const path = join(folder, `${name}.toml`)
      writeFileSync(path, fillIn(readFileSync(template, 'utf8'), {
        node: name,
        zone,
        ip,
        listen,
        seeds: ips.slice(0, 3).map((seed) => `${seed}:${PORTS.control}`),
        limits: { cpu_share: 0.675, cores: 2, memory_mb: 360 },
        contracts: ['base', 'drain', 'config', 'cost', 'recover', 'samples', 'stream', 'engine', 'batch', 'platform'],
        bounds: BOUNDS,
        platform: { addr: endpoint.address.replace('http://', ''), call_bytes: 2097152, record_bytes: 262144 }
      }))
      return new Host(name, ip, [...run.split(' ').slice(0, -1), path], join(folder, `${name}.log`))
    })
    record.write(`hosts: ${hosts.map(({ name, ip }) => `${name}=${ip}`).join(' ')}`)
    return new Deployment(store, hosts, folder)
  }

  host (index: number): Host {
    const host = this.hosts[index]
    if (host === undefined) throw new Error(`there is no host ${index}`)
    return host
  }

  async start (): Promise<void> {
    for (const host of this.hosts) host.start()
    for (const host of this.hosts) {
      for (let left = 100; !await isReady(host); left--) {
        if (left === 0 || !host.isRunning) throw new Error(`${host.name} is not ready: ${this.log(host).slice(-2000)}`)
        await pause(200)
      }
    }
  }

  log ({ name }: Host): string {
    return readFileSync(join(this.folder, `${name}.log`), 'utf8')
  }

  async stop (): Promise<void> {
    await Promise.all(this.hosts.map(async (host) => { await host.kill() }))
    await this.store.close()
    rmSync(this.folder, { recursive: true, force: true })
  }
}

async function isReady ({ ip }: Host): Promise<boolean> {
  const answer = await send({ ip, port: PORTS.ready, method: 'GET', path: '/ready', timeoutMs: 1000 })
  return answer.type === 'answer' && answer.status === 200
}

export interface Sent {
  readonly ip: string
  readonly port?: number
  readonly method: string
  readonly path: string
  readonly headers?: { readonly [name: string]: string }
  readonly body?: string
  readonly timeoutMs: number
}

/** How a request of a requester ended. `broken`: its channel ended without a complete answer. */
export type Ended =
  | { readonly type: 'answer', readonly status: number, readonly headers: { readonly [name: string]: string | string[] | undefined }, readonly text: string }
  | { readonly type: 'broken', readonly error: string }
  | { readonly type: 'given up' }

/** Sends a request on a new channel, as requesters do for batch submissions and retries. */
export async function send ({ ip, port = PORTS.front, method, path, headers = {}, body, timeoutMs }: Sent): Promise<Ended> {
  return await new Promise((resolve) => {
    const length = body === undefined ? {} : { 'content-length': String(Buffer.byteLength(body)) }
    const call = request({ host: ip, port, method, path, headers: { ...headers, ...length }, agent: false }, (response) => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => { chunks.push(chunk) })
      response.on('end', () => { finish({ type: 'answer', status: response.statusCode ?? 0, headers: response.headers, text: Buffer.concat(chunks).toString('utf8') }) })
      response.on('error', (error) => { finish({ type: 'broken', error: String(error) }) })
    })
    const timer = setTimeout(() => {
      finish({ type: 'given up' })
      call.destroy()
    }, timeoutMs)
    const finish = (ended: Ended): void => {
      clearTimeout(timer)
      resolve(ended)
    }
    call.on('error', (error) => { finish({ type: 'broken', error: String(error) }) })
    call.end(body)
  })
}
