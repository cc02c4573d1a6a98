/**
 * A randomized soak: hosts as real processes over the stand-ins, faults from outside them, and the
 * promises checked by what callers and targets see. One seed decides faults and load; the processes'
 * own timing is real, so a seed that failed may need several plays to fail again.
 */

import { mkdirSync, writeFileSync } from 'node:fs'
import { EndingTargets } from '../platform/support/endingTargets.ts'
import type { DutyFault } from '../platform/support/dutyStandIn.ts'
import { DutyStandIn } from '../platform/support/dutyStandIn.ts'
import { Fleet, configuration } from '../platform/support/fleet.ts'
import type { TargetOptions } from '../platform/support/targetStandIn.ts'
import { waitUntil } from '../support/hostProcess.ts'
import { Draw } from './chance.ts'
import { planFaults } from './faults.ts'
import { Keys, REVOCATION_MS } from './keys.ts'
import { Link } from './link.ts'
import { FATAL, Load } from './load.ts'

export interface SoakOptions {
  readonly seed: number
  readonly hosts: number
  /** Time in which faults begin, in milliseconds. */
  readonly lengthMs: number
  readonly faults: number
  /** Whether one request that ends its targets comes again and again. */
  readonly fatal?: boolean
  /** Whether callers need keys, which come and go, and usage is reported. */
  readonly keys?: boolean
}

export interface SoakReport {
  readonly violations: readonly string[]
  readonly faults: readonly string[]
  readonly answered: number
  readonly steps: number
}

/** Longest time after the last fault in which all that was accepted must be listed, in milliseconds. */
const HEAL_MS = 30_000
/** Pause of each caller between two requests, and of the trainer between two steps, in milliseconds. */
const CALL_MS = 60
const STEP_MS = 900
const READ_MS = 150
/** Time between two repeats of a request that ends its targets, and after the last fault until all hosts know what it ended, in milliseconds. */
const FATAL_MS = 400
const CALM_MS = 3000
/** Repeats after that, and how many of them may reach targets: the users' bound. */
const FATAL_REPEATS = 12
const MOST_FATAL = 3
/** Time between two changes of keys, and between two changes of how the interface for duties treats its callers, in milliseconds. */
const ROTATE_MS = 400
const DUTY_MS = 1500
const dutyFaults: readonly DutyFault[] = ['many', 'down', 'silent', 'unanswered']
/** Longest time after the last fault in which the usage until then must be reported, in milliseconds. */
const REPORTED_MS = 20_000
/** Share of steps that their trainer ends before they are whole. */
const ENDED_SHARE = 0.2

const engine = (index: number): TargetOptions => ({ id: `e-${index}`, service: 'engines', place: `place-${index % 3}`, engine: { models: ['m'], eventMs: 10, loadMs: 200 } })
const worker = (index: number): TargetOptions => ({ id: `w-${index}`, service: 'app', place: `place-${index % 3}`, answerMs: 10 })

const pause = async (milliseconds: number): Promise<void> => { await new Promise((resolve) => setTimeout(resolve, milliseconds)) }

/** Plays one seed. */
export async function soak ({ seed, hosts, lengthMs, faults: count, fatal = false, keys: withKeys = false }: SoakOptions): Promise<SoakReport> {
  const draw = new Draw(seed)
  const storeLinks: Link[] = []
  const wayToStore = async (door: string, host: number): Promise<string> => {
    const link = await Link.to(door)
    storeLinks[host] = link
    return link.address
  }
  const all = [0, 1, 2].flatMap((index) => [engine(index), worker(index)])
  const duties = withKeys ? await DutyStandIn.start() : undefined
  const settings: Record<string, Record<string, unknown>> = duties === undefined ? {} : { identity: { revocation: REVOCATION_MS }, usage: { address: duties.address, window_seconds: 1, due_seconds: 4 } }
  const fleet = await Fleet.start(hosts, fatal ? [] : all, settings, { wayToStore })
  const targets = fatal ? await EndingTargets.start(fleet, all, { under: ({ body }) => body === FATAL, afterMs: 30, backAfterMs: 800 }) : undefined
  const callerLinks = await Promise.all(fleet.hosts.map(async ({ address }) => await Link.to(address)))
  let version = 1
  const nextVersion = (by = 1): number => { version += by; return version }
  const keys = withKeys ? new Keys(fleet, new Draw(seed + 2), nextVersion) : undefined
  if (keys !== undefined) await beginKeys(fleet, keys)
  const load = new Load(fleet, callerLinks, new Draw(seed + 1), keys)
  const planConfiguration = (by: number, details: Record<string, object>): (() => object) => {
    // Without keys the numbers are given as planned, so that some changes are older than the one in force.
    if (keys !== undefined) return () => keys.configured(nextVersion(by), details)
    const next = configuration(nextVersion(by), details)
    return () => next
  }
  const planned = planFaults(draw, { fleet, callerLinks, storeLinks, planConfiguration }, lengthMs, count)
  const dutyDraw = new Draw(seed + 3)
  const told: string[] = []
  const stop = new AbortController()
  const repeat = async (everyMs: number, work: () => Promise<void>): Promise<void> => {
    while (!stop.signal.aborted) {
      await work()
      await pause(everyMs)
    }
  }
  try {
    const began = Date.now()
    const loops = [
      ...Array.from({ length: 3 }, async () => { await repeat(CALL_MS, async () => { await load.callOnce() }) }),
      repeat(STEP_MS, async () => { await load.submit() }),
      repeat(READ_MS, async () => { await readSteps(load, draw) }),
      ...(keys === undefined ? [] : [repeat(ROTATE_MS, async () => { keys.rotate() })]),
      ...(duties === undefined ? [] : [repeat(DUTY_MS, async () => { duties.fault = dutyDraw.chance(0.3) ? dutyDraw.oneOf(dutyFaults) : 'none' })]),
      ...(fatal ? [repeat(FATAL_MS, async () => { await load.callFatal() })] : [])
    ]
    for (const { atMs, name, begin, forMs } of planned) {
      await pause(atMs - (Date.now() - began))
      told.push(`${atMs} ms ${name} for ${forMs} ms`)
      const end = begin()
      if (end !== undefined) setTimeout(end, forMs)
    }
    await pause(Math.max(...planned.map(({ forMs }) => forMs)) + 500)
    for (const link of [...callerLinks, ...storeLinks]) if (link.state !== 'open') link.set('open')
    for (const { process } of fleet.hosts) if (!process.running) process.start()
    stop.abort()
    await Promise.all(loops)
    await heal(load)
    if (targets !== undefined) await checkFatal(load, targets)
    if (duties !== undefined) await checkReports(load, duties)
    load.checkRuns()
    load.violations.push(...keys?.violations() ?? [], ...duties?.violations ?? [])
    return { violations: load.violations, faults: told, answered: load.answered, steps: load.steps.length }
  } finally {
    stop.abort()
    targets?.stop()
    if (load.violations.length > 0) keepLogs(seed, fleet, [...load.violations, ...told])
    await fleet.stop()
    await duties?.close()
    await Promise.all([...callerLinks, ...storeLinks].map(async (link) => { await link.close() }))
  }
}

/** Writes the workspaces and waits until all hosts ask for keys: before that they pass on what callers present. */
async function beginKeys (fleet: Fleet, keys: Keys): Promise<void> {
  keys.write()
  await waitUntil(async () => (await Promise.all(fleet.hosts.map(async (host) => await fleet.call(host, '/look-up/x')))).every(({ status }) => status === 401), 10_000, 'all hosts ask for keys')
}

/** Reads all open steps once, and ends some. */
async function readSteps (load: Load, draw: Draw): Promise<void> {
  for (const step of load.steps) {
    if (step.state !== 'accepted' || step.results.length === step.items.size) continue
    if (draw.chance(ENDED_SHARE / 10)) await load.end(step)
    else await load.read(step)
  }
}

/** Waits until all that was accepted is listed. */
async function heal (load: Load): Promise<void> {
  const until = Date.now() + HEAL_MS
  while (!load.whole && Date.now() < until) {
    for (const step of load.steps) if (step.state === 'accepted' && step.results.length < step.items.size) await load.read(step)
    await pause(READ_MS)
  }
  for (const { id, state, items, results } of load.steps) if (state === 'accepted' && results.length < items.size) load.violations.push(`${id} was accepted, and ${items.size - results.length} of its items are not listed ${HEAL_MS / 1000} s after the last fault`)
}

/** The request that ends targets comes on after the last fault; what hosts saw of it before counts, also if they were lost since. */
async function checkFatal (load: Load, targets: EndingTargets): Promise<void> {
  const ended = targets.ended.length
  await pause(CALM_MS)
  const runs = (): number => targets.runs.filter(({ body }) => body === FATAL).length
  const before = runs()
  for (let repeats = 0; repeats < FATAL_REPEATS; repeats++) {
    await load.callFatal()
    await pause(FATAL_MS)
  }
  if (ended >= MOST_FATAL && runs() - before > MOST_FATAL) load.violations.push(`a request under which ${ended} targets had ended reached ${runs() - before} more`)
}

/** Reports are whole up to the present, however late. */
async function checkReports (load: Load, duties: DutyStandIn): Promise<void> {
  duties.fault = 'none'
  const last = Math.floor(Date.now() / 1000)
  const until = Date.now() + REPORTED_MS
  while (duties.counts(last) === undefined && Date.now() < until) await pause(READ_MS)
  const windows = new Set(duties.reports.map(({ window }) => window))
  const missing = Array.from({ length: last - Math.min(...windows, last) + 1 }, (_, index) => last - index).filter((window) => !windows.has(window))
  if (missing.length > 0) load.violations.push(`windows ${missing.join()} were never reported`)
}

function keepLogs (seed: number, fleet: Fleet, story: readonly string[]): void {
  const folder = `reports/soak-${seed}`
  mkdirSync(folder, { recursive: true })
  writeFileSync(`${folder}/story.txt`, `${story.join('\n')}\n`)
  for (const { name, process } of fleet.hosts) writeFileSync(`${folder}/${name}.log`, process.output)
}
