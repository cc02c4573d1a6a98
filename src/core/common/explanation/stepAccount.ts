/**
 * What became of each step, from the log lines of several hosts: when it was asked, adopted and had what
 * its trainer waits for, and where the time went until then. The parts of that time add up: what the
 * acceptance took, what passed under former holders of the duty, and the phases of the item that came last.
 */

import type { ItemPhase, PhaseTimes } from '../steps/itemPhases.ts'
import { itemPhases } from '../steps/itemPhases.ts'
import type { LogLine } from './explanation.ts'

/** Parts of a step's time, in order; those after the first two are the phases of the item that came last. */
export const stepParts = ['accepting', 'former-holders', ...(Object.keys(itemPhases) as ItemPhase[])] as const
export type StepPart = typeof stepParts[number]

export interface AdoptedStep {
  readonly time: number
  readonly host: string
  readonly items: number
}

/** A result that is listed. */
export interface AccountedItem {
  readonly item: string
  readonly time: number
  readonly phases: PhaseTimes
}

export interface StepAccount {
  readonly step: string
  readonly number: number
  readonly model: string
  /** Times are milliseconds since the epoch, by the clocks of the hosts that wrote the lines. */
  readonly askedAt: number
  readonly acceptedAt: number
  readonly adoptions: readonly AdoptedStep[]
  readonly items: readonly AccountedItem[]
  /** Items of the step; 0 where no line tells. */
  readonly itemCount: number
  /** When the wanted groups were listed; absent where they never were. */
  readonly wanted: { readonly item: string, readonly time: number, readonly phases: PhaseTimes } | undefined
  /** Time from the submission until the wanted groups are due, in milliseconds; 0 where no line tells. */
  readonly dueMs: number
  /** When its trainer first asked for its end. */
  readonly endAskedAt: number | undefined
  /** Reads of its results that brought none though some were listed, or that this host could not answer. */
  readonly failedReads: number
}

/** Accounts of all steps of which the lines tell the acceptance, in the order in which they were asked. */
export function stepAccounts (lines: readonly LogLine[]): StepAccount[] {
  const byStep = new Map<string, LogLine[]>()
  for (const line of [...lines].sort((a, b) => a.time - b.time)) {
    const { step } = line.details
    if (typeof step !== 'string') continue
    const known = byStep.get(step) ?? []
    known.push(line)
    byStep.set(step, known)
  }
  return [...byStep].flatMap(([step, own]) => accountOf(step, own) ?? []).sort((a, b) => a.askedAt - b.askedAt)
}

function accountOf (step: string, lines: readonly LogLine[]): StepAccount | undefined {
  const accepted = lines.find(({ what, details }) => what === 'step submitted' && details.outcome === 'accepted')
  if (accepted === undefined) return undefined
  const adoptions = lines.filter(({ what }) => what === 'step adopted').map(({ time, host, details }) => ({ time, host, items: numberOf(details.items) }))
  const wanted = lines.find(({ what }) => what === 'wanted groups listed')
  return {
    step,
    number: numberOf(accepted.details.number),
    model: String(accepted.details.model ?? ''),
    askedAt: accepted.time - numberOf(accepted.details.tookMs),
    acceptedAt: accepted.time,
    adoptions,
    items: lines.filter(({ what }) => what === 'result listed').map(({ time, details }) => ({ item: String(details.item), time, phases: phasesOf(details) })),
    itemCount: numberOf(accepted.details.items),
    wanted: wanted === undefined ? undefined : { item: String(wanted.details.item), time: wanted.time, phases: phasesOf(wanted.details) },
    dueMs: numberOf(wanted?.details.dueMs),
    endAskedAt: lines.find(({ what }) => what === 'step end asked')?.time,
    failedReads: lines.filter(({ what, details }) => what === 'results read' && details.failed === true).length
  }
}

/** Where the time until the wanted groups were listed went, in milliseconds; `undefined` where they never were. */
export function partsOf ({ askedAt, acceptedAt, adoptions, wanted }: StepAccount): Readonly<Partial<Record<StepPart, number>>> | undefined {
  if (wanted === undefined) return undefined
  const held = adoptions.filter(({ time }) => time <= wanted.time).at(-1)?.time ?? acceptedAt
  return { accepting: acceptedAt - askedAt, 'former-holders': Math.max(0, held - acceptedAt), ...wanted.phases }
}

/** Writes an account in some ten lines, with times since the step was asked. */
export function formatAccount (account: StepAccount): string {
  const since = (time: number): string => `${((time - account.askedAt) / 1000).toFixed(3).padStart(9)} s`
  const parts = partsOf(account)
  return [
    `step ${account.step}: number ${account.number} of ${account.model}, ${account.itemCount} items`,
    `${since(account.acceptedAt)}   accepted`,
    ...account.adoptions.map(({ time, host, items }) => `${since(time)}   adopted by ${host}, ${items} items open`),
    ...account.items.slice(0, 1).map(({ time, item }) => `${since(time)}   first result listed: ${item}`),
    account.wanted === undefined ? '              wanted groups never listed' : `${since(account.wanted.time)}   wanted groups listed, due after ${account.dueMs / 1000} s; the last item was ${account.wanted.item}`,
    ...(parts === undefined ? [] : [`              of that: ${stepParts.flatMap((part) => parts[part] === undefined ? [] : [`${part} ${parts[part]} ms`]).join(', ')}`]),
    `              ${account.items.length} of ${account.itemCount} results listed, ${account.failedReads} reads failed`,
    account.endAskedAt === undefined ? '              its end was not asked' : `${since(account.endAskedAt)}   its end asked`
  ].join('\n')
}

function phasesOf (details: LogLine['details']): PhaseTimes {
  return Object.fromEntries((Object.keys(itemPhases) as ItemPhase[]).flatMap((phase) => typeof details[phase] === 'number' ? [[phase, details[phase]]] : []))
}

function numberOf (value: unknown): number {
  return typeof value === 'number' ? value : 0
}
