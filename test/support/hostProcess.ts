/** Starts, freezes and ends entry hosts as separate processes, and talks to them. */

import type { ChildProcess } from 'node:child_process'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createServer } from 'node:net'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { stringify } from 'smol-toml'
import { request } from 'undici'

/** The program as one script; the binary is the same and starts more slowly. */
export const PROGRAM: readonly string[] = [process.execPath, 'dist/bulrushvalve.cjs']
export const keys = { peers: 'peer-key-0001', operator: 'operator-key-0001', other: 'operator-key-0002', caller: 'caller-key-0001', stranger: 'caller-key-0002', trainer: 'trainer-key-0001', second: 'trainer-key-0002' }

/** Settings by table; what is given is laid over quick defaults. */
export type SettingsTables = Record<string, Record<string, unknown>>

export interface HostAnswer {
  readonly status: number
  readonly headers: Record<string, string | string[] | undefined>
  readonly body: Record<string, unknown>
}

export interface CallOptions {
  readonly method?: string
  readonly key?: string
  readonly headers?: Record<string, string>
  readonly body?: unknown
  readonly timeoutMs?: number
}

/** Sends a request and reads a JSON answer. */
export async function call (address: string, path: string, { method, key = keys.caller, headers = {}, body, timeoutMs = 15_000 }: CallOptions = {}): Promise<HostAnswer> {
  const answer = await request(`${address}${path}`, {
    method: (method ?? (body === undefined ? 'GET' : 'POST')) as 'GET',
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json', ...headers },
    body: body === undefined ? null : typeof body === 'string' ? body : JSON.stringify(body),
    signal: AbortSignal.timeout(timeoutMs)
  })
  return { status: answer.statusCode, headers: answer.headers, body: await answer.body.json() as Record<string, unknown> }
}

export class HostProcess {
  private child: ChildProcess | undefined
  output = ''
  exitCode: number | null = null

  constructor (readonly name: string, readonly place: string, readonly address: string, private readonly settingsPath: string, private readonly program: readonly string[]) {}

  start (): void {
    const [command = process.execPath, ...words] = this.program
    const child = spawn(command, [...words, 'serve', '--settings', this.settingsPath], { stdio: ['ignore', 'pipe', 'pipe'] })
    this.child = child
    this.exitCode = null
    const take = (data: Buffer): void => { this.output += data.toString() }
    child.stdout.on('data', take)
    child.stderr.on('data', take)
    child.on('exit', (code) => { this.exitCode = code ?? -1 })
  }

  get pid (): number {
    return this.child?.pid ?? -1
  }

  get running (): boolean {
    return this.child !== undefined && this.exitCode === null
  }

  freeze (): void {
    this.child?.kill('SIGSTOP')
  }

  wake (): void {
    this.child?.kill('SIGCONT')
  }

  terminate (): void {
    this.child?.kill('SIGTERM')
  }

  async kill (): Promise<void> {
    this.child?.kill('SIGKILL')
    await this.ended()
  }

  async ended (): Promise<void> {
    if (this.child !== undefined && this.exitCode === null) await once(this.child, 'exit')
  }

  async command (statement: string, options: { wait?: boolean, id?: string, key?: string } = {}): Promise<HostAnswer> {
    const { key = keys.operator, ...rest } = options
    return await call(this.address, '/v1/command', { key, body: { statement, ...rest } })
  }

  async rows (statement: string): Promise<Record<string, unknown>[]> {
    const answer = await this.command(statement)
    return (answer.body.rows ?? []) as Record<string, unknown>[]
  }

  async health (): Promise<Record<string, unknown>> {
    return (await call(this.address, '/v1/health', { timeoutMs: 2000 })).body
  }
}

export interface ClusterOptions {
  readonly hosts: readonly { readonly name: string, readonly place: string }[]
  readonly logAddress: string
  readonly hostListAddress?: string
  readonly scorerAddress?: string
  readonly settings?: SettingsTables
  /** Command and first words that run the program. */
  readonly program?: readonly string[]
  /** Addresses that hosts announce in place of their own, by name. */
  readonly announced?: Readonly<Record<string, string>>
}

/** A set of entry hosts on loopback. */
export class Cluster {
  private constructor (readonly hosts: readonly HostProcess[], private readonly folder: string) {}

  static async start (options: ClusterOptions): Promise<Cluster> {
    const cluster = await Cluster.prepare(options)
    try {
      for (const host of cluster.hosts) host.start()
      await Promise.all(cluster.hosts.map(async (host) => { await waitUntil(async () => (await host.health()).fresh === true, 30_000, () => `${host.name} is fresh\n${host.output}`) }))
      await waitUntil(async () => (await cluster.host(0).rows('show hosts')).length === cluster.hosts.length, 20_000, 'hosts know each other')
    } catch (error) {
      await cluster.stop()
      throw error
    }
    return cluster
  }

  /** Writes the settings without starting anything. */
  static async prepare (options: ClusterOptions): Promise<Cluster> {
    const folder = mkdtempSync(join(tmpdir(), 'hosts-'))
    const ports = await freePorts(options.hosts.length)
    const addresses = ports.map((port) => `http://127.0.0.1:${port}`)
    const hosts = options.hosts.map(({ name, place }, index) => {
      const path = join(folder, `${name}.toml`)
      writeFileSync(path, stringify(settingsFor(options, name, place, ports[index] ?? 0, addresses)))
      return new HostProcess(name, place, addresses[index] ?? '', path, options.program ?? PROGRAM)
    })
    return new Cluster(hosts, folder)
  }

  host (index: number): HostProcess {
    const host = this.hosts[index]
    if (host === undefined) throw new Error(`there is no host ${index}`)
    return host
  }

  named (name: string): HostProcess {
    const host = this.hosts.find((candidate) => candidate.name === name)
    if (host === undefined) throw new Error(`there is no host ${name}`)
    return host
  }

  /** Orders statements and fails on the first that is not accepted. */
  async order (...statements: string[]): Promise<void> {
    for (const statement of statements) {
      const answer = await this.host(0).command(statement, { wait: true })
      if (answer.status !== 200) throw new Error(`${statement}: ${JSON.stringify(answer.body)}`)
    }
  }

  async stop (): Promise<void> {
    for (const host of this.hosts) host.wake()
    await Promise.all(this.hosts.map(async (host) => { await host.kill() }))
    rmSync(this.folder, { recursive: true, force: true })
  }
}

function settingsFor (options: ClusterOptions, name: string, place: string, port: number, seeds: readonly string[]): SettingsTables {
  const own = options.settings ?? {}
  return {
    host: { name, place, listen: `127.0.0.1:${port}`, address: options.announced?.[name] ?? `http://127.0.0.1:${port}` },
    log: { address: options.logAddress, read_pause: 20, ...own.log },
    ...(options.hostListAddress === undefined ? {} : { host_list: { address: options.hostListAddress } }),
    ...(options.scorerAddress === undefined ? {} : { scorer: { address: options.scorerAddress } }),
    peers: { key: keys.peers },
    membership: { seeds, probe_period: 200, probe_timeout: 200, suspicion: 800, full_exchange: 1000, ...own.membership },
    limits: { valid_for: 500, ...own.limits },
    orders: { reconcile: 200, host_list: 300, ...own.orders },
    rollouts: { ...own.rollouts },
    callers: [
      { name: 'booking', key: keys.caller },
      { name: 'stranger', key: keys.stranger },
      { name: 'trainer', key: keys.trainer, role: 'trainer' },
      { name: 'second', key: keys.second, role: 'trainer' }
    ],
    operators: [{ name: 'layla', key: keys.operator }, { name: 'omar', key: keys.other }]
  } as unknown as SettingsTables
}

/** Ports below those that the system gives to outgoing connections: one of these could be taken between its finding and the start of a host. */
const LOWEST_PORT = 12_000
const HIGHEST_PORT = 32_000

/** Finds ports that are free at each of some loopback addresses. */
export async function freePorts (count: number, addresses: readonly string[] = ['127.0.0.1']): Promise<number[]> {
  const ports = new Set<number>()
  while (ports.size < count) {
    const port = LOWEST_PORT + Math.floor(Math.random() * (HIGHEST_PORT - LOWEST_PORT))
    const free = await Promise.all(addresses.map(async (address) => await isFree(port, address)))
    if (free.every(Boolean)) ports.add(port)
  }
  return [...ports]
}

async function isFree (port: number, address: string): Promise<boolean> {
  const server = createServer()
  return await new Promise((resolve) => {
    server.once('error', () => { resolve(false) })
    server.listen(port, address, () => { server.close(() => { resolve(true) }) })
  })
}

/** Waits until a condition holds; errors count as not yet. */
export async function waitUntil (condition: () => boolean | Promise<boolean>, timeoutMs: number, what: string | (() => string)): Promise<void> {
  const until = Date.now() + timeoutMs
  let last = ''
  while (Date.now() < until) {
    try {
      if (await condition()) return
    } catch (error) {
      last = String(error)
    }
    await new Promise((resolve) => setTimeout(resolve, 25))
  }
  throw new Error(`not within ${timeoutMs} ms: ${typeof what === 'string' ? what : what()} ${last}`)
}
