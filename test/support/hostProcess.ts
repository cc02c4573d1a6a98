/** Runs entry hosts as separate processes: starts, suspends and terminates them, and sends them requests. */

import type { ChildProcess } from 'node:child_process'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createServer } from 'node:net'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { stringify } from 'smol-toml'
import { request } from 'undici'

/** Command line of the bundled script. The single executable contains the same program but starts more slowly. */
export const PROGRAM: readonly string[] = [process.execPath, 'dist/bulrushvalve.cjs']
export const keys = { peers: 'peer-key-0001', operator: 'operator-key-0001', other: 'operator-key-0002', caller: 'caller-key-0001', stranger: 'caller-key-0002', trainer: 'trainer-key-0001', second: 'trainer-key-0002' }

/** Settings by table. They override defaults with short intervals. */
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

/** Sends a request and parses the JSON response. */
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
    const [command = process.execPath, ...args] = this.program
    const child = spawn(command, [...args, 'serve', '--settings', this.settingsPath], { stdio: ['ignore', 'pipe', 'pipe'] })
    this.child = child
    this.exitCode = null
    const appendOutput = (data: Buffer): void => { this.output += data.toString() }
    child.stdout.on('data', appendOutput)
    child.stderr.on('data', appendOutput)
    child.on('exit', (code) => { this.exitCode = code ?? -1 })
  }

  get pid (): number {
    return this.child?.pid ?? -1
  }

  get isRunning (): boolean {
    return this.child !== undefined && this.exitCode === null
  }

  freeze (): void {
    this.child?.kill('SIGSTOP')
  }

  resume (): void {
    this.child?.kill('SIGCONT')
  }

  terminate (): void {
    this.child?.kill('SIGTERM')
  }

  async kill (): Promise<void> {
    this.child?.kill('SIGKILL')
    await this.waitForExit()
  }

  async waitForExit (): Promise<void> {
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
  /** Command and leading arguments that run the program. */
  readonly program?: readonly string[]
  /** Addresses that hosts announce instead of their own, by host name. */
  readonly announcedAddresses?: Readonly<Record<string, string>>
}

/** A set of entry hosts on the loopback interface. */
export class Cluster {
  private constructor (readonly hosts: readonly HostProcess[], private readonly folder: string) {}

  static async start (options: ClusterOptions): Promise<Cluster> {
    const cluster = await Cluster.prepare(options)
    try {
      for (const host of cluster.hosts) host.start()
      await Promise.all(cluster.hosts.map(async (host) => { await waitUntil(async () => (await host.health()).fresh === true, 30_000, () => `${host.name} becomes fresh\n${host.output}`) }))
      await waitUntil(async () => (await cluster.host(0).rows('show hosts')).length === cluster.hosts.length, 20_000, 'hosts know each other')
    } catch (error) {
      await cluster.stop()
      throw error
    }
    return cluster
  }

  /** Writes the settings files without starting the hosts. */
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
    if (host === undefined) throw new Error(`host index ${index} is out of range`)
    return host
  }

  hostNamed (name: string): HostProcess {
    const host = this.hosts.find((candidate) => candidate.name === name)
    if (host === undefined) throw new Error(`no host is named ${name}`)
    return host
  }

  /** Executes operator statements in order and throws at the first that is not accepted. */
  async execute (...statements: string[]): Promise<void> {
    for (const statement of statements) {
      const answer = await this.host(0).command(statement, { wait: true })
      if (answer.status !== 200) throw new Error(`${statement}: ${JSON.stringify(answer.body)}`)
    }
  }

  async stop (): Promise<void> {
    for (const host of this.hosts) host.resume()
    await Promise.all(this.hosts.map(async (host) => { await host.kill() }))
    rmSync(this.folder, { recursive: true, force: true })
  }
}

function settingsFor (options: ClusterOptions, name: string, place: string, port: number, seeds: readonly string[]): SettingsTables {
  const overrides = options.settings ?? {}
  return {
    host: { name, place, listen: `127.0.0.1:${port}`, address: options.announcedAddresses?.[name] ?? `http://127.0.0.1:${port}` },
    log: { address: options.logAddress, read_pause: 20, ...overrides.log },
    ...(options.hostListAddress === undefined ? {} : { host_list: { address: options.hostListAddress } }),
    ...(options.scorerAddress === undefined ? {} : { scorer: { address: options.scorerAddress } }),
    peers: { key: keys.peers },
    membership: { seeds, probe_period: 200, probe_timeout: 200, suspicion: 800, full_exchange: 1000, ...overrides.membership },
    limits: { valid_for: 500, ...overrides.limits },
    orders: { reconcile: 200, host_list: 300, ...overrides.orders },
    rollouts: { ...overrides.rollouts },
    callers: [
      { name: 'booking', key: keys.caller },
      { name: 'stranger', key: keys.stranger },
      { name: 'trainer', key: keys.trainer, role: 'trainer' },
      { name: 'second', key: keys.second, role: 'trainer' }
    ],
    operators: [{ name: 'layla', key: keys.operator }, { name: 'omar', key: keys.other }]
  } as unknown as SettingsTables
}

/** Port range below the ephemeral ports. An ephemeral port could be taken by an outgoing connection before the host starts. */
const MIN_PORT = 12_000
const MAX_PORT = 32_000

/** Finds ports that are free on all of the given loopback addresses. */
export async function freePorts (count: number, addresses: readonly string[] = ['127.0.0.1']): Promise<number[]> {
  const ports = new Set<number>()
  while (ports.size < count) {
    const port = MIN_PORT + Math.floor(Math.random() * (MAX_PORT - MIN_PORT))
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

/** Polls until a condition holds. An error thrown by the condition counts as not fulfilled. */
export async function waitUntil (condition: () => boolean | Promise<boolean>, timeoutMs: number, description: string | (() => string)): Promise<void> {
  const deadline = Date.now() + timeoutMs
  let lastError = ''
  while (Date.now() < deadline) {
    try {
      if (await condition()) return
    } catch (error) {
      lastError = String(error)
    }
    await new Promise((resolve) => setTimeout(resolve, 25))
  }
  throw new Error(`condition not fulfilled within ${timeoutMs} ms: ${typeof description === 'string' ? description : description()} ${lastError}`)
}
