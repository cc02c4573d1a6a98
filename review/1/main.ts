/**
 * A trainer submits step after step and carries over the groups that were not complete. Engines change their weights while runs go
 * on, a few at a time. The versions of each result are compared with those under which its events were made.
 */

import { join } from 'node:path'
import { Deployment, ZONES } from '../support/deployment.ts'
import { isTroubled, pause, runCase } from '../support/record.ts'
import type { Item, Submission } from '../support/trainer.ts'
import { Trainer } from '../support/trainer.ts'
import { EngineWorker, PlainWorker } from '../support/workers.ts'

const HOST = 'ficu95.example'
const MODEL = 'daka510000'
const BUDGET_MS = 12_000
const ENGINES = 6
const EVENT_MS = 110
const LOAD_MS = 900
/** Least duration of a long and of a short item, and how much longer others of their kind take. */
const LONG_MS = 3000
const LONG_SPREAD_MS = 300
const SHORT_MS = 550
const SHORT_SPREAD_MS = 350
const GROUPS = 17
const WANTED = 15
const GROUP_SIZE = 4
/** With the disruption, a version is named while runs of the step before go on. Without it, they have ended. */
const LEAST_TRAINING_MS = 300
const MOST_TRAINING_MS = 1500
const LONG_TRAINING_MS = 3500
/** Usual time from the naming of a version to the first orders. */
const ORDER_MS = 35
/** How many engines load at once. */
const LOADS_AT_ONCE = 2
/** Time from the naming of a version to the next step: with the disruption, every other step comes while engines still load. */
const EARLY_MS = 1600
const LOADED_MS = 3400
/** No step begins later than this after the start of the case. */
const LAST_STEP_MS = 98_000

const configuration = {
  version: 1,
  routes: [
    { name: 'reply-draft', host: HOST, path_prefix: '/pule252/', route_type: 'rollout', timeout_ms: 10000, slo_ms: 400, due_ms: 7500, retention_s: 40, priority: 1, service: 'drafter', attempts: 3 },
    { name: 'ledger-sync', host: HOST, path_prefix: '/pufi791/', route_type: 'idempotent', timeout_ms: 3000, slo_ms: 848, priority: 2, service: 'viewings-app', attempts: 4 }
  ],
  services: [
    { name: 'drafter', health_path: '/health', max_conns: 150, engine: { slots: 8, kv_cap_tokens: 45164, models: [{ name: MODEL }] } },
    { name: 'viewings-app', health_path: '/health', max_conns: 110 }
  ],
  limits: { max_header_bytes: 16384, max_body_bytes: 33554432, header_timeout_ms: 3000, idle_timeout_ms: 15000 }
}

/** Number of events of an item. Two of the new groups of a step have long items. */
function eventsOf (id: string): number {
  const seed = [...id].reduce((sum, letter) => (sum * 31 + letter.charCodeAt(0)) % 9973, 7)
  return id.includes('long') ? Math.floor(LONG_MS / EVENT_MS) + seed % Math.ceil(LONG_SPREAD_MS / EVENT_MS) : Math.floor(SHORT_MS / EVENT_MS) + seed % Math.ceil(SHORT_SPREAD_MS / EVENT_MS)
}

/**
 * Returns how long training takes: so long that an engine which changes its weights first does so just before the last event of a run.
 * The engines with the fewest runs change first.
 */
function trainingMs (engines: readonly EngineWorker[]): number {
  if (!isTroubled) return LONG_TRAINING_MS
  const first = [...engines].sort((a, b) => a.openRuns.length - b.openRuns.length).slice(0, LOADS_AT_ONCE)
  const fitting = first.flatMap((engine) => engine.openRuns.map(({ lastEventAt }) => lastEventAt - EVENT_MS / 2 - LOAD_MS - ORDER_MS - Date.now()))
  return fitting.filter((ms) => ms >= LEAST_TRAINING_MS && ms <= MOST_TRAINING_MS).sort((a, b) => a - b)[0] ?? LEAST_TRAINING_MS
}

await runCase(join(process.argv[2] ?? '.', 'record.txt'), async (record, cleanUp) => {
  const deployment = await Deployment.prepare(3, configuration, record)
  cleanUp(async () => { await deployment.stop() })
  const { store } = deployment
  const engines = await Promise.all(Array.from({ length: ENGINES }, async (_, index) => await new EngineWorker({ id: `i-draft-${index}`, service: 'drafter', zone: ZONES[index % 3] ?? '', slots: 8 }, store, record, { model: MODEL, eventMs: EVENT_MS, loadMs: LOAD_MS, events: eventsOf }).start()))
  const apps = await Promise.all([0, 1, 2].map(async (index) => await new PlainWorker({ id: `i-app-${index}`, service: 'viewings-app', zone: ZONES[index] ?? '', slots: 6 }, store, record, () => 60).start()))
  cleanUp(async () => { await Promise.all([...engines, ...apps].map(async (worker) => { await worker.stop() })) })
  await deployment.start()
  await pause(4000)

  const trainer = new Trainer(deployment, record, { host: HOST, prefix: '/pule252/', scorerPrefix: '/pufi791/', model: MODEL, outputTokens: (id) => eventsOf(id) * 49 })
  const broken: string[] = []
  let carried: Item[] = []
  let version = 1
  for (let step = 1; broken.length === 0 && record.now < LAST_STEP_MS; step++) {
    const carriedGroups = new Set(carried.map(({ group }) => group))
    const fresh = Array.from({ length: GROUPS - carriedGroups.size }, (_, index) => `s${step}${index < 2 ? 'long' : 'short'}${index}`)
    const items = [...carried, ...fresh.flatMap((group) => Array.from({ length: GROUP_SIZE }, (_, index): Item => ({ id: `${group}i${index}`, group })))]
    const submission: Submission = { id: `7c41e09b52d6${String(step).padStart(4, '0')}`, step, minimumVersion: Math.max(1, version - 1), groupCount: WANTED, items }
    await trainer.submit(submission, 5000)
    const listed = await trainer.readUntilComplete(submission, carriedGroups, BUDGET_MS)
    await trainer.end(submission.id)
    for (const { id, state, text, versions } of listed.values()) {
      if (state !== 'complete') continue
      const made = text.split('\n').map((event) => engines.map((engine) => engine.made.get(event)).find((known) => known !== undefined))
      const actual = [...new Set(made)].sort((a = 0, b = 0) => a - b)
      const named = [...versions].sort((a, b) => a - b)
      if (JSON.stringify(actual) === JSON.stringify(named)) continue
      broken.push(`VERSION: ${id} of step ${step} names versions ${named.join(' ')}, but its ${made.length} events were made under ${actual.join(' ')} (${made.join(',')})`)
      record.write(broken.at(-1) ?? '')
    }
    carried = items.filter(({ group }) => items.some((item) => item.group === group && !listed.has(item.id))).slice(0, GROUP_SIZE * Math.floor(WANTED / 2))
    await pause(trainingMs(engines))
    trainer.nameVersion(++version)
    const namedAt = Date.now()
    await pause(namedAt + (isTroubled && step % 2 === 1 ? EARLY_MS : LOADED_MS) - Date.now())
  }
  return broken
})
