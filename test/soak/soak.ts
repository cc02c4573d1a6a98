/**
 * Randomized soak test. Hosts run as real processes on top of the stand-ins, faults are injected from outside,
 * and the guarantees are checked by what callers and targets observe. The seed determines faults and load, but
 * the timing of the processes is real, so a seed that failed may need several runs to fail again.
 */

import { mkdirSync, writeFileSync } from 'node:fs'
import { CrashingTargets } from '../platform/support/crashingTargets.ts'
import type { DutyFault } from '../platform/support/dutyStandIn.ts'
import { DutyStandIn } from '../platform/support/dutyStandIn.ts'
import { Fleet, configuration } from '../platform/support/fleet.ts'
import type { TargetOptions } from '../platform/support/targetStandIn.ts'
import { waitUntil } from '../support/hostProcess.ts'
import { SeededRandom } from './seededRandom.ts'
import { planFaults } from './faults.ts'
import { WorkspaceKeys, MAX_REVOCATION_DELAY_MS } from './keys.ts'
import { Link } from './link.ts'
import { FATAL_BODY, SoakLoad } from './load.ts'

export interface SoakOptions {
  readonly seed: number
  readonly hosts: number
  /** Time span in which faults begin, in milliseconds. */
  readonly lengthMs: number
  readonly faults: number
  /** Whether a request that crashes its targets is sent repeatedly. */
  readonly fatal?: boolean
  /** Whether callers need keys, which are issued and revoked, and usage is reported. */
  readonly keys?: boolean
}

export interface SoakReport {
  readonly violations: readonly string[]
  readonly faults: readonly string[]
  readonly answered: number
  readonly steps: number
}

/** Time limit after the last fault for listing the results of all accepted steps, in milliseconds. */
const RECOVERY_TIMEOUT_MS = 30_000
/** Pauses of a caller between requests, of the trainer between steps, and between reads of results, in milliseconds. */
const CALL_INTERVAL_MS = 60
const STEP_INTERVAL_MS = 900
const READ_INTERVAL_MS = 150
/** Interval of the request that crashes its targets, and time after the last fault until all hosts know of the crashes, in milliseconds. */
const FATAL_INTERVAL_MS = 400
const CRASH_PROPAGATION_MS = 3000
/** Number of repeats after that time, and how many of them may reach targets. The limit is a requirement of the users. */
const FATAL_REPEATS = 12
const MAX_FATAL_RUNS = 3
/** Intervals of key rotation and of changes to the fault of the duty interface, in milliseconds. */
const KEY_ROTATION_INTERVAL_MS = 400
const DUTY_FAULT_INTERVAL_MS = 1500
const dutyFaults: readonly DutyFault[] = ['many', 'down', 'silent', 'unanswered']
/** Time limit after the last fault for reporting all usage until then, in milliseconds. */
const REPORT_TIMEOUT_MS = 20_000
/** Approximate fraction of steps that the trainer ends before all results are listed. */
const ENDED_STEP_FRACTION = 0.2

const engineTarget = (index: number): TargetOptions => ({ id: `e-${index}`, service: 'engines', place: `place-${index % 3}`, engine: { models: ['m'], eventMs: 10, loadMs: 200 } })
const serviceTarget = (index: number): TargetOptions => ({ id: `w-${index}`, service: 'app', place: `place-${index % 3}`, responseDelayMs: 10 })

const pause = async (milliseconds: number): Promise<void> => { await new Promise((resolve) => setTimeout(resolve, milliseconds)) }

/** Runs the soak test with one seed. */
export async function runSoak ({ seed, hosts, lengthMs, faults: count, fatal = false, keys: withKeys = false }: SoakOptions): Promise<SoakReport> {
  const draw = new SeededRandom(seed)
  const storeLinks: Link[] = []
  const wayToStore = async (door: string, host: number): Promise<string> => {
    const link = await Link.to(door)
    storeLinks[host] = link
    return link.address
  }
  const allTargets = [0, 1, 2].flatMap((index) => [engineTarget(index), serviceTarget(index)])
  const duties = withKeys ? await DutyStandIn.start() : undefined
  const settings: Record<string, Record<string, unknown>> = duties === undefined ? {} : { identity: { revocation: MAX_REVOCATION_DELAY_MS }, usage: { address: duties.address, window_seconds: 1, due_seconds: 4 } }
  const fleet = await Fleet.start(hosts, fatal ? [] : allTargets, settings, { storeAddressFor: wayToStore })
  const targets = fatal ? await CrashingTargets.start(fleet, allTargets, { under: ({ body }) => body === FATAL_BODY, afterMs: 30, restartAfterMs: 800 }) : undefined
  const callerLinks = await Promise.all(fleet.hosts.map(async ({ address }) => await Link.to(address)))
  let version = 1
  const nextVersion = (by = 1): number => { version += by; return version }
  const keys = withKeys ? new WorkspaceKeys(fleet, new SeededRandom(seed + 2), nextVersion) : undefined
  if (keys !== undefined) await enableKeys(fleet, keys)
  const load = new SoakLoad(fleet, callerLinks, new SeededRandom(seed + 1), keys)
  const planConfiguration = (by: number, details: Record<string, object>): (() => object) => {
    // Without keys the versions are assigned when the faults are planned, so that some changes are older than the configuration in effect.
    if (keys !== undefined) return () => keys.buildConfiguration(nextVersion(by), details)
    const next = configuration(nextVersion(by), details)
    return () => next
  }
  const planned = planFaults(draw, { fleet, callerLinks, storeLinks, planConfiguration }, lengthMs, count)
  const dutyDraw = new SeededRandom(seed + 3)
  const faultLog: string[] = []
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
      ...Array.from({ length: 3 }, async () => { await repeat(CALL_INTERVAL_MS, async () => { await load.sendRandomCall() }) }),
      repeat(STEP_INTERVAL_MS, async () => { await load.submitStep() }),
      repeat(READ_INTERVAL_MS, async () => { await readSteps(load, draw) }),
      ...(keys === undefined ? [] : [repeat(KEY_ROTATION_INTERVAL_MS, async () => { keys.rotateKey() })]),
      ...(duties === undefined ? [] : [repeat(DUTY_FAULT_INTERVAL_MS, async () => { duties.fault = dutyDraw.chance(0.3) ? dutyDraw.pick(dutyFaults) : 'none' })]),
      ...(fatal ? [repeat(FATAL_INTERVAL_MS, async () => { await load.sendFatalRequest() })] : [])
    ]
    for (const { atMs, name, begin, forMs } of planned) {
      await pause(atMs - (Date.now() - began))
      faultLog.push(`${atMs} ms ${name} for ${forMs} ms`)
      const end = begin()
      if (end !== undefined) setTimeout(end, forMs)
    }
    await pause(Math.max(...planned.map(({ forMs }) => forMs)) + 500)
    for (const link of [...callerLinks, ...storeLinks]) if (link.state !== 'open') link.set('open')
    for (const { process } of fleet.hosts) if (!process.isRunning) process.start()
    stop.abort()
    await Promise.all(loops)
    await waitForResults(load)
    if (targets !== undefined) await checkFatalRequest(load, targets)
    if (duties !== undefined) await checkUsageReports(load, duties)
    load.checkRuns()
    load.violations.push(...keys?.violations() ?? [], ...duties?.violations ?? [])
    return { violations: load.violations, faults: faultLog, answered: load.answered, steps: load.steps.length }
  } finally {
    stop.abort()
    targets?.stop()
    if (load.violations.length > 0) saveLogs(seed, fleet, [...load.violations, ...faultLog])
    await fleet.stop()
    await duties?.close()
    await Promise.all([...callerLinks, ...storeLinks].map(async (link) => { await link.close() }))
  }
}

/** Writes the workspaces and waits until all hosts require keys. Until then they forward the keys that callers present. */
async function enableKeys (fleet: Fleet, keys: WorkspaceKeys): Promise<void> {
  keys.writeConfiguration()
  await waitUntil(async () => (await Promise.all(fleet.hosts.map(async (host) => await fleet.call(host, '/look-up/x')))).every(({ status }) => status === 401), 10_000, 'all hosts require keys')
}

/** Reads the results of all open steps once, and ends some of the steps. */
async function readSteps (load: SoakLoad, draw: SeededRandom): Promise<void> {
  for (const step of load.steps) {
    if (step.state !== 'accepted' || step.results.length === step.items.size) continue
    if (draw.chance(ENDED_STEP_FRACTION / 10)) await load.endStep(step)
    else await load.readStep(step)
  }
}

/** Waits until the results of all accepted steps are listed. */
async function waitForResults (load: SoakLoad): Promise<void> {
  const until = Date.now() + RECOVERY_TIMEOUT_MS
  while (!load.isComplete && Date.now() < until) {
    for (const step of load.steps) if (step.state === 'accepted' && step.results.length < step.items.size) await load.readStep(step)
    await pause(READ_INTERVAL_MS)
  }
  for (const { id, state, items, results } of load.steps) if (state === 'accepted' && results.length < items.size) load.violations.push(`${id} was accepted, but ${items.size - results.length} of its items are not listed ${RECOVERY_TIMEOUT_MS / 1000} s after the last fault`)
}

/** Repeats the crashing request after the last fault. Crashes that hosts saw before count, even if those hosts were lost since. */
async function checkFatalRequest (load: SoakLoad, targets: CrashingTargets): Promise<void> {
  const crashCount = targets.ended.length
  await pause(CRASH_PROPAGATION_MS)
  const fatalRunCount = (): number => targets.runs.filter(({ body }) => body === FATAL_BODY).length
  const before = fatalRunCount()
  for (let repeats = 0; repeats < FATAL_REPEATS; repeats++) {
    await load.sendFatalRequest()
    await pause(FATAL_INTERVAL_MS)
  }
  if (crashCount >= MAX_FATAL_RUNS && fatalRunCount() - before > MAX_FATAL_RUNS) load.violations.push(`a request that had crashed ${crashCount} targets reached ${fatalRunCount() - before} more`)
}

/** Checks that usage is reported for every window up to the present, however late. */
async function checkUsageReports (load: SoakLoad, duties: DutyStandIn): Promise<void> {
  duties.fault = 'none'
  const last = Math.floor(Date.now() / 1000)
  const until = Date.now() + REPORT_TIMEOUT_MS
  while (duties.counts(last) === undefined && Date.now() < until) await pause(READ_INTERVAL_MS)
  const windows = new Set(duties.reports.map(({ window }) => window))
  const missing = Array.from({ length: last - Math.min(...windows, last) + 1 }, (_, index) => last - index).filter((window) => !windows.has(window))
  if (missing.length > 0) load.violations.push(`windows ${missing.join()} were never reported`)
}

function saveLogs (seed: number, fleet: Fleet, lines: readonly string[]): void {
  const folder = `reports/soak-${seed}`
  mkdirSync(folder, { recursive: true })
  writeFileSync(`${folder}/story.txt`, `${lines.join('\n')}\n`)
  for (const { name, process } of fleet.hosts) writeFileSync(`${folder}/${name}.log`, process.output)
}
