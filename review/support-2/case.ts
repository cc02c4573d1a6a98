/** Runs a case: starts it, limits its time, ends its processes and turns its verdict into an exit code. */

import { join } from 'node:path'
import type { DeploymentOptions } from './deployment.ts'
import { Deployment, HOST_NAME } from './deployment.ts'
import { Journal } from './journal.ts'

export interface Verdict {
  readonly broken: boolean
  readonly why: string
}

export interface Case {
  readonly options: DeploymentOptions
  /** @param trouble whether the disruption is brought about */
  readonly play: (deployment: Deployment, journal: Journal, trouble: boolean) => Promise<Verdict>
}

const EXIT_HELD = 0
const EXIT_BROKEN = 1
const EXIT_NOT_RUN = 2
/** A case may run for 120 s. */
const TIME_LIMIT_MS = 112_000

/** Plays a case and exits: with 1 if its rule was broken, 0 if it held, and 2 if the case could not run. */
export function run ({ options, play }: Case): void {
  const journal = new Journal(join(process.argv[2] ?? '.', 'record.txt'))
  const trouble = process.env['TROUBLE'] !== '0'
  journal.write(`trouble: ${trouble ? 'yes' : 'no'}`)
  let deployment: Deployment | undefined
  const finish = (code: number, text: string): void => {
    journal.write(text)
    process.stdout.write(`${text}\n`)
    const stopping = deployment?.stop() ?? Promise.resolve()
    stopping.catch(() => undefined).finally(() => { process.exit(code) })
  }
  setTimeout(() => { finish(EXIT_NOT_RUN, `the case did not end within ${TIME_LIMIT_MS} ms`) }, TIME_LIMIT_MS).unref()
  for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => { finish(EXIT_NOT_RUN, `the case was stopped by ${signal}`) })
  Deployment.start(journal, options).then(async (started) => {
    deployment = started
    await pause(SETTLING_MS)
    journal.write(`hosts are ready, ${started.holder().name} holds the duty`)
    const { broken, why } = await play(started, journal, trouble)
    for (const { name, ends, child } of started.hosts) journal.write(`${name}: ends of processes: ${ends.length === 0 ? 'none' : ends.join(', ')}; process ${child?.pid ?? 0}`)
    finish(broken ? EXIT_BROKEN : EXIT_HELD, `${broken ? 'BROKEN' : 'held'}: ${why}`)
  }).catch((error: unknown) => { finish(EXIT_NOT_RUN, `the case could not run: ${String(error instanceof Error ? error.stack : error)}`) })
}

/** Time for a new holder of the duty to begin, and for all machines to be in touch. */
const SETTLING_MS = 5000

export async function pause (milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}

/** Bounds of the smallest site, in milliseconds. */
export const bounds = { stableMs: 3000, settleMs: 1000 }
/** Memory of a model worker of that site, in tokens. */
export const MEMORY_TOKENS = 45_164
export const SLOTS = 8
export const MODEL = 'daka510000'
export const RETENTION_S = 40
export const CALL_TIMEOUT_MS = 2000
export const STEPS_TIMEOUT_MS = 10_000

/** A configuration with the routes, services and limits of the smallest site. */
export const configuration = {
  version: 7,
  routes: [
    { name: 'booking-lookup', host: HOST_NAME, path_prefix: '/lohu930/', route_type: 'idempotent', timeout_ms: CALL_TIMEOUT_MS, slo_ms: 155, priority: 2, service: 'viewings-app', attempts: 2 },
    { name: 'ledger-entry', host: HOST_NAME, path_prefix: '/pufi791/', route_type: 'non_idempotent', timeout_ms: CALL_TIMEOUT_MS, slo_ms: 847, priority: 2, service: 'viewings-app', attempts: 1 },
    { name: 'reply-draft', host: HOST_NAME, path_prefix: '/pule252/', route_type: 'rollout', timeout_ms: STEPS_TIMEOUT_MS, slo_ms: 400, due_ms: 7500, retention_s: RETENTION_S, priority: 1, service: 'drafter', attempts: 3 }
  ],
  services: [
    { name: 'drafter', health_path: '/health', max_conns: 150, protocol: 'h1', tls: false, engine: { slots: SLOTS, kv_cap_tokens: MEMORY_TOKENS, models: [{ name: MODEL }] } },
    { name: 'viewings-app', health_path: '/health', max_conns: 110, protocol: 'h1', tls: false }
  ],
  limits: { max_header_bytes: 16_384, max_body_bytes: 33_554_432, header_timeout_ms: 3000, idle_timeout_ms: 15_000 }
}

/** Three hosts, two plain workers and two model workers. */
export const deployment: DeploymentOptions = {
  hosts: 3,
  configuration,
  targets: [0, 1].map((index) => ({ id: `i-app-${index}`, service: 'viewings-app', place: `zone-${index}`, slots: 6 })),
  engines: [0, 1].map((index) => ({ id: `i-engine-${index}`, service: 'drafter', zone: `zone-${index}`, slots: SLOTS, model: MODEL, memoryTokens: MEMORY_TOKENS, eventMs: 20 }))
}

export interface ItemOptions {
  readonly id: string
  readonly group: string
  readonly events: number
  readonly tokensIn?: number
  readonly tokensOut?: number
  /** Whether the item names the parts of its prompt. */
  readonly namesPrompt?: boolean
}

/** An item of a batch submission, as the platform's page shows one. */
export function item ({ id, group, events, tokensIn = 271, tokensOut = 50, namesPrompt = true }: ItemOptions): object {
  return {
    id,
    path: `/pule252/events-${events}/91c4`,
    headers: { 'Bulrushvalve-Model': MODEL, 'Bulrushvalve-Token-Usage': `${tokensIn},${tokensOut}`, ...(namesPrompt ? { 'Bulrushvalve-Prompt-Prefix': '9c2e41:255' } : {}) },
    body: 'q83vEjRWeJA=',
    tokens: tokensIn + tokensOut,
    group
  }
}

export function submission (items: readonly object[], groups: number): string {
  return JSON.stringify({ step: 0, model: MODEL, min_version: 1, group_count: groups, items })
}
