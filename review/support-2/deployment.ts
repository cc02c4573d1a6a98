/**
 * Starts hosts with the commands and the settings template of the deploy file, one process for each host, each with an address of
 * its own in 127.0.0.0/8. The platform's store and the targets are the project's own stand-ins. A host that ends is started
 * again after a short delay, as the platform does.
 */

import type { ChildProcess } from 'node:child_process'
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request as httpRequest } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parse } from 'smol-toml'
import { StoreStandIn } from '../../test/platform/support/storeStandIn.ts'
import type { TargetOptions } from '../../test/platform/support/targetStandIn.ts'
import { TargetStandIn } from '../../test/platform/support/targetStandIn.ts'
import { freePorts, waitUntil } from '../../test/support/hostProcess.ts'
import type { EngineOptions } from './engine.ts'
import { EngineStandIn } from './engine.ts'
import type { Journal } from './journal.ts'
import { StoreProxy } from './storeProxy.ts'

/** Delay after which the platform starts an ended process again. */
const RESTART_DELAY_MS = 1000

export const HOST_NAME = 'ficu95.example'

interface DeployFile {
  readonly roles: Readonly<Record<string, { readonly run: string, readonly template: string }>>
}

type Fields = Readonly<Record<string, unknown>>

export interface Reply {
  /** `undefined` if the connection ended or the time was over without a complete answer. */
  readonly status: number | undefined
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly text: string
  readonly error: string
  readonly tookMs: number
}

export interface Call {
  readonly method?: string
  readonly path: string
  readonly id?: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string | Buffer
  readonly timeoutMs?: number
}

/** One entry host and the process that runs it at present. */
export class Host {
  child: ChildProcess | undefined
  output = ''
  /** Exit codes or signals of the processes that ended by themselves. */
  readonly ends: string[] = []
  private isStopped = false

  constructor (readonly name: string, readonly ip: string, readonly ports: { readonly front: number, readonly ready: number, readonly directory: number }, private readonly command: readonly string[], private readonly journal: Journal) {}

  get isRunning (): boolean {
    return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null
  }

  start (): void {
    const [program = '', ...words] = this.command
    const child = spawn(program, words, { stdio: ['ignore', 'pipe', 'pipe'], env: { PATH: process.env['PATH'], HOME: process.env['HOME'], LANG: process.env['LANG'] } })
    this.child = child
    for (const stream of [child.stdout, child.stderr]) stream.on('data', (data: Buffer) => { this.output += data.toString() })
    child.once('exit', (code, signal) => {
      if (this.isStopped) return
      const end = signal ?? `exit code ${code ?? -1}`
      this.ends.push(end)
      this.journal.write(`${this.name} ended by itself: ${end}; last output: ${lastWords(this.output)}`)
      setTimeout(() => { if (!this.isStopped) this.start() }, RESTART_DELAY_MS)
    })
  }

  /** Ends the process for good. */
  async stop (): Promise<void> {
    this.isStopped = true
    const { child } = this
    if (child === undefined || !this.isRunning) return
    child.kill('SIGCONT')
    child.kill('SIGKILL')
    await new Promise((resolve) => { child.once('exit', resolve) })
  }

  async call (options: Call): Promise<Reply> {
    return await callAt(this.ip, this.ports.front, options)
  }

  async isReady (): Promise<boolean> {
    return (await callAt(this.ip, this.ports.ready, { method: 'GET', path: '/ready', timeoutMs: 1000 })).status === 200
  }
}

export interface DeploymentOptions {
  readonly hosts: number
  readonly configuration: object
  readonly targets: readonly TargetOptions[]
  readonly engines?: readonly EngineOptions[]
  readonly memoryMb?: number
  /** Whether a proxy stands between each host and the store. */
  readonly storeProxies?: boolean
}

export class Deployment {
  readonly store = new StoreStandIn()
  readonly hosts: Host[] = []
  readonly targets: TargetStandIn[] = []
  readonly engines: EngineStandIn[] = []
  /** The proxies before the store, in the order of the hosts. */
  readonly proxies: StoreProxy[] = []
  private readonly folder = mkdtempSync(join(tmpdir(), 'deployment-'))

  private constructor (readonly journal: Journal) {}

  static async start (journal: Journal, options: DeploymentOptions): Promise<Deployment> {
    const deployment = new Deployment(journal)
    try {
      await deployment.startAll(options)
    } catch (error) {
      await deployment.stop()
      throw error
    }
    return deployment
  }

  host (index: number): Host {
    const host = this.hosts[index]
    if (host === undefined) throw new Error(`there is no host ${index}`)
    return host
  }

  /** Returns the host that holds the steps' duty according to the newest claim in the store. */
  holder (): Host {
    const claims = [...this.store.newest('keyed.bulrushvalve')].filter(([key]) => key.startsWith('claim/')).map(([, { value }]) => JSON.parse(value) as { holder: string, term: number })
    const newest = claims.sort((a, b) => b.term - a.term)[0]
    const host = this.hosts.find(({ name }) => newest?.holder.startsWith(`${name}/`) === true)
    if (host === undefined) throw new Error('no host holds the duty')
    return host
  }

  async stop (): Promise<void> {
    await Promise.all(this.hosts.map(async (host) => { await host.stop() }))
    await Promise.all([...this.targets, ...this.engines].map(async (target) => { await target.kill() }))
    await Promise.all(this.proxies.map(async (proxy) => { await proxy.stop() }))
    await this.store.close()
    rmSync(this.folder, { recursive: true, force: true })
  }

  private async openProxy (storeAddress: string): Promise<string> {
    const proxy = await StoreProxy.start(storeAddress)
    this.proxies.push(proxy)
    return proxy.address
  }

  private async startAll ({ hosts, configuration, targets, engines = [], memoryMb = 360, storeProxies = false }: DeploymentOptions): Promise<void> {
    const role = Object.values((parse(readFileSync('deploy/system.toml', 'utf8')) as unknown as DeployFile).roles)[0]
    if (role === undefined) throw new Error('the deploy file has no role')
    const template = readFileSync(role.template, 'utf8')
    const ips = Array.from({ length: hosts }, (_, index) => `127.0.7.${index + 1}`)
    const [front = 0, ready = 0, control = 0, directory = 0, metrics = 0] = await freePorts(5, ips)
    for (const [index, ip] of ips.entries()) {
      const name = `front-${index + 1}`
      const endpoint = await this.store.openEndpoint()
      const address = storeProxies ? await this.openProxy(endpoint.address) : endpoint.address
      const fields = settingsFields({ name, ip, zone: `zone-${index % 3}`, front, ready, control, directory, store: address.replace('http://', ''), seeds: ips.slice(0, 3).map((seed) => `${seed}:${control}`), memoryMb })
      const settingsPath = join(this.folder, `${name}.toml`)
      writeFileSync(settingsPath, render(template, fields).replace(':9464"', `:${metrics}"`))
      const command = role.run.split(' ').map((word) => word === '/etc/bulrushvalve/local.json' ? settingsPath : word === 'node' ? process.execPath : word)
      this.hosts.push(new Host(name, ip, { front, ready, directory }, command, this.journal))
    }
    this.store.put('keyed.op', 'config', configuration)
    for (const options of targets) this.targets.push(await new TargetStandIn(options, this.store).start())
    for (const options of engines) this.engines.push(await new EngineStandIn(options, this.store).start())
    for (const host of this.hosts) host.start()
    for (const host of this.hosts) await waitUntil(async () => await host.isReady(), 20_000, () => `${host.name} is ready\n${host.output}`)
    await waitUntil(() => this.holder().isRunning, 20_000, 'a host holds the duty')
  }
}

/** Sends one request over a connection of its own. Never rejects. */
export async function callAt (ip: string, port: number, { method = 'POST', path, id, headers = {}, body, timeoutMs = 10_000 }: Call): Promise<Reply> {
  const startedAt = Date.now()
  return await new Promise((resolve) => {
    const finish = (reply: Partial<Reply>): void => { resolve({ status: undefined, headers: {}, text: '', error: '', tookMs: Date.now() - startedAt, ...reply }) }
    const request = httpRequest({ host: ip, port, method, path, agent: false, headers: { host: HOST_NAME, ...(id === undefined ? {} : { 'bulrushvalve-request-id': id }), ...(body === undefined ? {} : { 'content-length': String(Buffer.byteLength(body)) }), ...headers } }, (response) => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => { chunks.push(chunk) })
      response.on('end', () => { finish({ status: response.statusCode, headers: response.headers, text: Buffer.concat(chunks).toString('utf8') }) })
      response.on('error', (error) => { finish({ error: String(error) }) })
    })
    request.on('error', (error) => { finish({ error: String(error) }) })
    setTimeout(() => { request.destroy(new Error(`no answer within ${timeoutMs} ms`)) }, timeoutMs).unref()
    request.end(body)
  })
}

interface FieldOptions {
  readonly name: string
  readonly ip: string
  readonly zone: string
  readonly front: number
  readonly ready: number
  readonly control: number
  readonly directory: number
  readonly store: string
  readonly seeds: readonly string[]
  readonly memoryMb: number
}

/** The fields with which the platform fills in the template, with the figures of the smallest site. */
function settingsFields ({ name, ip, zone, front, ready, control, directory, store, seeds, memoryMb }: FieldOptions): Fields {
  return {
    node: name,
    ip,
    zone,
    listen: { front: `${ip}:${front}`, ready: `${ip}:${ready}`, control: `${ip}:${control}`, directory: `${ip}:${directory}` },
    seeds,
    limits: { cpu_share: 0.675, cores: 2, memory_mb: memoryMb, max_fds: 8200 },
    contracts: ['base', 'drain', 'config', 'cost', 'recover', 'samples', 'stream', 'engine', 'batch', 'platform'],
    bounds: { grace_s: 8 },
    platform: { addr: store, call_bytes: 2_097_152, record_bytes: 262_144 }
  }
}

/** Fills in a template as the platform does: values, lists, and sections that appear once or for each entry. */
function render (template: string, fields: Fields, entry?: unknown, isLast = true): string {
  const sections = template.replace(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_, path: string, inner: string) => {
    const value = lookUp(fields, path)
    if (Array.isArray(value)) return value.map((each, index) => render(inner, fields, each, index === value.length - 1)).join('')
    return value === undefined || value === false || value === null ? '' : render(inner, fields)
  })
  return sections.replace(/\{\{,\}\}/g, isLast ? '' : ',').replace(/\{\{\.\}\}/g, String(entry)).replace(/\{\{([\w.]+)\}\}/g, (_, path: string) => String(lookUp(fields, path) ?? ''))
}

function lookUp (fields: Fields, path: string): unknown {
  return path.split('.').reduce<unknown>((value, name) => (value as Fields | undefined)?.[name], fields)
}

/** Returns the reason that the engine of Node.js gave before it ended the process, if any. */
function lastWords (output: string): string {
  return /FATAL ERROR: [^\n]*/.exec(output)?.[0] ?? 'none of note'
}
