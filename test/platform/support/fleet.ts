/** Starts hosts as separate processes against stand-ins of the platform. Each host has its own address in 127.0.0.0/8, and all use the same ports, as on the platform. */

import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parse, stringify } from 'smol-toml'
import { request } from 'undici'
import { HostProcess, freePorts, waitUntil } from '../../support/hostProcess.ts'
import type { StoreEndpoint } from './storeStandIn.ts'
import { StoreStandIn } from './storeStandIn.ts'
import type { TargetOptions } from './targetStandIn.ts'
import { TargetStandIn } from './targetStandIn.ts'

export interface FleetHost {
  readonly name: string
  readonly process: HostProcess
  readonly storeEndpoint: StoreEndpoint
  /** URL of the address for callers. */
  readonly address: string
  readonly directory: string
  readonly readiness: string
  readonly peers: string
  readonly metrics: string
  readonly settingsPath: string
}

export interface Reply {
  readonly status: number
  readonly headers: Record<string, string | string[] | undefined>
  readonly text: string
}

export interface CallDetails {
  readonly method?: string
  readonly host?: string
  readonly id?: string
  readonly headers?: Record<string, string>
  readonly body?: string
}

export const CALLS_HOST = 'calls.example'

/** The program with the options of the engine with which it is deployed, as they determine its memory. */
const DEPLOYED_PROGRAM: readonly string[] = [process.execPath, ...deployedOptions(), 'dist/bulrushvalve.cjs']

/** Returns the options of the engine with which the program is deployed. */
export function deployedOptions (): string[] {
  const { roles } = parse(readFileSync('deploy/system.toml', 'utf8')) as unknown as { roles: { host: { run: string } } }
  const words = roles.host.run.split(' ').slice(1)
  return words.slice(0, words.findIndex((word) => !word.startsWith('--')))
}

/** Memory of an engine by the configuration. Targets run items of any size. */
export const ENGINE_MEMORY_TOKENS = 100_000

/** Returns a configuration as an operator writes it; `overrides` replace fields of the routes, by route name. */
export function configuration (version: number, overrides: Record<string, object> = {}): object {
  const routes = [
    { name: 'look-up', host: CALLS_HOST, path_prefix: '/look-up/', route_type: 'idempotent', timeout_ms: 1500, slo_ms: 300, priority: 2, service: 'app', attempts: 2 },
    { name: 'entry', host: CALLS_HOST, path_prefix: '/entry/', route_type: 'non_idempotent', timeout_ms: 1500, slo_ms: 300, priority: 2, service: 'app', attempts: 1 },
    { name: 'score', host: CALLS_HOST, path_prefix: '/score/', route_type: 'idempotent', timeout_ms: 1500, slo_ms: 300, priority: 2, service: 'app', attempts: 3 },
    { name: 'chat', host: CALLS_HOST, path_prefix: '/chat/', route_type: 'streaming', resumable: true, timeout_ms: 5000, slo_ms: 300, priority: 2, service: 'engines', attempts: 3 },
    { name: 'steps', host: CALLS_HOST, path_prefix: '/steps/', route_type: 'rollout', timeout_ms: 5000, slo_ms: 400, due_ms: 7500, retention_s: 30, priority: 1, service: 'engines', attempts: 3 }
  ]
  return {
    version,
    routes: routes.map((route) => ({ ...route, ...overrides[route.name] })),
    services: [{ name: 'app', health_path: '/health', max_conns: 50 }, { name: 'engines', health_path: '/health', max_conns: 50, engine: { slots: 4, kv_cap_tokens: ENGINE_MEMORY_TOKENS, models: [{ name: 'm' }] } }],
    limits: { max_header_bytes: 16384, max_body_bytes: 200_000, header_timeout_ms: 3000, idle_timeout_ms: 15000 }
  }
}

export interface FleetOptions {
  /** Returns the address at which a host reaches its store endpoint, in place of the endpoint's own address. */
  readonly storeAddressFor?: (endpoint: string, host: number) => Promise<string>
  /** Command and leading arguments that run the program. */
  readonly program?: readonly string[]
}

export class Fleet {
  readonly targets: TargetStandIn[] = []
  private next = 0

  private constructor (readonly store: StoreStandIn, readonly hosts: readonly FleetHost[], private readonly folder: string) {}

  /** Starts a number of hosts and waits until all of them are ready. */
  static async start (count: number, targets: readonly TargetOptions[], settings: Record<string, Record<string, unknown>> = {}, { storeAddressFor: wayToStore, program = DEPLOYED_PROGRAM }: FleetOptions = {}): Promise<Fleet> {
    const store = new StoreStandIn()
    const folder = mkdtempSync(join(tmpdir(), 'fleet-'))
    const ip = (index: number): string => `127.0.1.${index + 1}`
    const [callers = 0, readiness = 0, peers = 0, directory = 0, metrics = 0] = await freePorts(5, Array.from({ length: count }, (_, index) => ip(index)))
    const hosts = await Promise.all(Array.from({ length: count }, async (_, index): Promise<FleetHost> => {
      const name = `host-${index}`
      const endpoint = await store.openEndpoint()
      const storeAddress = wayToStore === undefined ? endpoint.address : await wayToStore(endpoint.address, index)
      const settingsPath = join(folder, `${name}.toml`)
      writeFileSync(settingsPath, stringify({
        host: { name, place: `place-${index % 3}`, ...settings.host },
        listen: { callers: `${ip(index)}:${callers}`, readiness: `${ip(index)}:${readiness}`, peers: `${ip(index)}:${peers}`, directory: `${ip(index)}:${directory}` },
        store: { address: storeAddress, ...settings.store },
        peers: { key: 'between-the-hosts' },
        membership: { seeds: [`http://${ip(0)}:${peers}`, `http://${ip(1)}:${peers}`], probe_period: 200, ...settings.membership },
        limits: { stop_serving: 700, ...settings.limits },
        duty: { ...settings.duty },
        steps: { ...settings.steps },
        identity: { ...settings.identity },
        metrics: { listen: `${ip(index)}:${metrics}` },
        ...(settings.usage === undefined ? {} : { usage: settings.usage }),
        ...(settings.fleet === undefined ? {} : { fleet: settings.fleet }),
        ...(settings.deployment === undefined ? {} : { deployment: settings.deployment })
      } as unknown as Record<string, Record<string, unknown>>))
      return { name, storeEndpoint: endpoint, settingsPath, address: `http://${ip(index)}:${callers}`, directory: `http://${ip(index)}:${directory}`, readiness: `http://${ip(index)}:${readiness}`, peers: `http://${ip(index)}:${peers}`, metrics: `http://${ip(index)}:${metrics}`, process: new HostProcess(name, '', '', settingsPath, program) }
    }))
    const fleet = new Fleet(store, hosts, folder)
    store.put('keyed.op', 'config', configuration(1))
    try {
      for (const options of targets) await fleet.addTarget(options)
      for (const { process } of hosts) process.start()
      for (const host of hosts) await fleet.waitUntilReady(host)
    } catch (error) {
      await fleet.stop()
      throw error
    }
    return fleet
  }

  /** Starts a target; `port` lets it reuse the address of a former target. */
  async addTarget (options: TargetOptions, port?: number): Promise<TargetStandIn> {
    const target = await new TargetStandIn(options, this.store).start(port)
    this.targets.push(target)
    return target
  }

  host (index: number): FleetHost {
    const host = this.hosts[index]
    if (host === undefined) throw new Error(`there is no host ${index}`)
    return host
  }

  target (id: string): TargetStandIn {
    const target = this.targets.find(({ options }) => options.id === id)
    if (target === undefined) throw new Error(`there is no target ${id}`)
    return target
  }

  async waitUntilReady (host: FleetHost): Promise<void> {
    await waitUntil(async () => (await this.resolve(host)).includes(host.address.replace('http://', '')), 20_000, () => `${host.name} is ready\n${host.process.output}`)
  }

  /** Returns the host addresses that a host advertises to callers. */
  async resolve (host: FleetHost): Promise<string[]> {
    const answer = await request(`${host.directory}/resolve?name=${CALLS_HOST}&region=r&zone=place-0`)
    const body = await answer.body.json() as { addrs?: string[] }
    return body.addrs ?? []
  }

  async call (host: FleetHost, path: string, { method = 'POST', host: name = CALLS_HOST, id, headers = {}, body }: CallDetails = {}): Promise<Reply> {
    const answer = await request(`${host.address}${path}`, {
      method: method as 'POST',
      headers: { host: name, 'bulrushvalve-request-id': id ?? this.newId(), 'bulrushvalve-deadline-ms': '2000', ...headers },
      body: body ?? null,
      signal: AbortSignal.timeout(15_000)
    })
    return { status: answer.statusCode, headers: answer.headers, text: await answer.body.text() }
  }

  newId (): string {
    return `id-${this.next++}`
  }

  /** Returns the body of a submission; `groups` lists the number of events of each item of each group. */
  stepBody (groups: readonly (readonly number[])[], overrides: Record<string, unknown> = {}): string {
    const items = groups.flatMap((events, group) => events.map((count, index) => ({
      id: `item-${group}-${index}`,
      path: `/steps/events-${count}/${group}-${index}`,
      headers: { 'Bulrushvalve-Model': 'm', 'Bulrushvalve-Token-Usage': `100,${count * 10}` },
      body: Buffer.from(`prompt ${group}-${index}`).toString('base64'),
      tokens: 100 + count * 10,
      group: `group-${group}`,
      scorer: { id: `score-${group}-${index}`, host: CALLS_HOST, path: `/score/${group}-${index}`, body: '' }
    })))
    return JSON.stringify({ step: 0, model: 'm', min_version: 1, group_count: groups.length, items, ...overrides })
  }

  async submit (host: FleetHost, id: string, groups: readonly (readonly number[])[], overrides: Record<string, unknown> = {}): Promise<Reply> {
    return await this.call(host, `/steps/${id}`, { id, body: this.stepBody(groups, overrides), headers: { 'content-type': 'application/json' } })
  }

  /** Submits a step with additional headers. */
  async submitWithHeaders (host: FleetHost, id: string, groups: readonly (readonly number[])[], headers: Record<string, string>): Promise<Reply> {
    return await this.call(host, `/steps/${id}`, { id, body: this.stepBody(groups), headers: { 'content-type': 'application/json', ...headers } })
  }

  async results (host: FleetHost, id: string, after = 0): Promise<{ total: number, next: number, results: { id: string, state: string, text: string, versions: number[], score?: string }[] }> {
    const answer = await this.call(host, `/lots/${id}?after=${after}`, { method: 'GET' })
    if (answer.status !== 200) throw new Error(`results of ${id}: ${answer.status} ${answer.text}`)
    return JSON.parse(answer.text) as Awaited<ReturnType<Fleet['results']>>
  }

  async waitUntilComplete (host: FleetHost, id: string, timeoutMs = 15_000): Promise<Awaited<ReturnType<Fleet['results']>>> {
    let page: Awaited<ReturnType<Fleet['results']>> | undefined
    await waitUntil(async () => {
      page = await this.results(host, id)
      return page.results.length === page.total
    }, timeoutMs, () => `step ${id} is complete\n${this.hosts.map(({ process }) => process.output).join('\n')}`)
    if (page === undefined) throw new Error(`step ${id} has no page of results`)
    return page
  }

  /** Returns the host that holds the steps' duty according to the records in the store. */
  dutyHolder (): FleetHost {
    const claims = [...this.store.newest('keyed.bulrushvalve')].filter(([key]) => key.startsWith('claim/')).map(([, { value }]) => JSON.parse(value) as { holder: string, term: number })
    const newest = claims.sort((a, b) => b.term - a.term)[0]
    const host = this.hosts.find(({ name }) => newest?.holder.startsWith(`${name}/`) === true)
    if (host === undefined) throw new Error('no host holds the duty')
    return host
  }

  async stop (): Promise<void> {
    for (const { process } of this.hosts) process.resume()
    await Promise.all(this.hosts.map(async ({ process }) => { await process.kill() }))
    await Promise.all(this.targets.map(async (target) => { await target.kill() }))
    await this.store.close()
    rmSync(this.folder, { recursive: true, force: true })
  }
}
