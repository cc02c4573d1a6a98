/**
 * What of a log's steps was late or missing, ranked: in which part of its time each lost what the steps in
 * time did not need, and what happened meanwhile. A step is late if its wanted groups were listed after they
 * were due; how much later than undisturbed ones the next steps are asked is told beside it, as a trainer that waits
 * hands its delay on.
 */

import type { LogLine } from './explanation.ts'
import type { StepAccount, StepPart } from './stepAccount.ts'
import { partsOf, stepAccounts, stepParts } from './stepAccount.ts'

/** What may happen to a step while it is under way, the gravest first. */
const disturbances = ['store lost', 'holder changed', 'runs broke', 'undisturbed'] as const
export type Disturbance = typeof disturbances[number]

export interface LossRow {
  /** The part of the time that exceeded the usual one the most; `never` where the wanted groups were not listed. */
  readonly part: StepPart | 'never'
  readonly disturbance: Disturbance
  readonly steps: number
  /** Part of all late steps. */
  readonly share: number
  /** Time over what was due, all steps together, in milliseconds; what is never listed adds nothing. */
  readonly lateMs: number
}

export interface LossReport {
  readonly steps: number
  readonly late: number
  readonly rows: readonly LossRow[]
  /** Time from one step of a model to the next where none was held up, and by how much the steps were asked later in all, in milliseconds. */
  readonly undisturbedIntervalMs: number
  readonly handedOnMs: number
}

interface LateStep {
  readonly part: StepPart | 'never'
  readonly disturbance: Disturbance
  readonly lateMs: number
}

export function lossesOf (lines: readonly LogLine[]): LossReport {
  const accounts = stepAccounts(lines)
  const usual = usualParts(accounts)
  const dueMs = Math.max(0, ...accounts.map((account) => account.dueMs))
  const late = accounts.filter((account) => account.wanted === undefined || account.wanted.time - account.askedAt > dueMs).map((account): LateStep => ({
    part: lostPart(account, usual),
    disturbance: disturbanceOf(account, lines),
    lateMs: account.wanted === undefined ? 0 : account.wanted.time - account.askedAt - dueMs
  }))
  return { steps: accounts.length, late: late.length, rows: rank(late), ...intervals(accounts) }
}

function rank (late: readonly LateStep[]): LossRow[] {
  const rows = new Map<string, LossRow>()
  for (const { part, disturbance, lateMs } of late) {
    const key = `${part} ${disturbance}`
    const row = rows.get(key)
    const steps = (row?.steps ?? 0) + 1
    rows.set(key, { part, disturbance, steps, share: steps / late.length, lateMs: (row?.lateMs ?? 0) + lateMs })
  }
  return [...rows.values()].sort((a, b) => b.steps - a.steps || b.lateMs - a.lateMs)
}

/** Median of each part over the steps that had what was wanted. */
function usualParts (accounts: readonly StepAccount[]): Map<StepPart, number> {
  const known = accounts.map(partsOf).filter((parts) => parts !== undefined)
  return new Map(stepParts.map((part) => [part, median(known.map((parts) => parts[part] ?? 0))]))
}

function lostPart (account: StepAccount, usual: ReadonlyMap<StepPart, number>): StepPart | 'never' {
  const parts = partsOf(account)
  if (parts === undefined) return 'never'
  const excess = (part: StepPart): number => (parts[part] ?? 0) - (usual.get(part) ?? 0)
  return stepParts.reduce((most, part) => excess(part) > excess(most) ? part : most)
}

function disturbanceOf (account: StepAccount, lines: readonly LogLine[]): Disturbance {
  const until = account.wanted?.time ?? account.endAskedAt ?? Number.POSITIVE_INFINITY
  const holders = new Set(account.adoptions.map(({ host }) => host))
  const meanwhile = lines.filter(({ time }) => time >= account.askedAt && time <= until)
  const happened: Readonly<Record<Disturbance, boolean>> = {
    'store lost': meanwhile.some(({ what, host }) => what === 'store lost' && holders.has(host)),
    'holder changed': account.adoptions.length > 1,
    'runs broke': meanwhile.some(({ what, details }) => what === 'run ended' && details.step === account.step && details.failed === true),
    undisturbed: true
  }
  return disturbances.find((disturbance) => happened[disturbance]) ?? 'undisturbed'
}

/** By how much a model's next steps were asked later than those that were not held up: a quarter of them at least is taken to be so. */
function intervals (accounts: readonly StepAccount[]): { undisturbedIntervalMs: number, handedOnMs: number } {
  const gaps = [...new Set(accounts.map(({ model }) => model))].flatMap((model) => {
    const own = accounts.filter((account) => account.model === model)
    return own.slice(1).map(({ askedAt }, index) => askedAt - (own[index]?.askedAt ?? askedAt))
  })
  const undisturbedIntervalMs = [...gaps].sort((a, b) => a - b)[Math.floor(gaps.length / 4)] ?? 0
  return { undisturbedIntervalMs, handedOnMs: gaps.reduce((sum, gap) => sum + gap - undisturbedIntervalMs, 0) }
}

function median (values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0
}

export function formatLosses ({ steps, late, rows, undisturbedIntervalMs, handedOnMs }: LossReport): string {
  return [
    `${late} of ${steps} steps late; a step each ${(undisturbedIntervalMs / 1000).toFixed(1)} s, ${(handedOnMs / 1000).toFixed(1)} s later in all than at that pace`,
    ...rows.map(({ part, disturbance, steps: count, share, lateMs }) => `${String(count).padStart(6)} ${`${Math.round(share * 100)}%`.padStart(5)} ${`${(lateMs / 1000).toFixed(1)} s`.padStart(9)}  ${part}, ${disturbance}`)
  ].join('\n')
}
