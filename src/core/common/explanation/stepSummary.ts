/**
 * Summary of each step from the log lines of several hosts: when it was submitted, when it was adopted, when
 * the results that its trainer waits for were listed, and how the time until then is spent. The parts add up
 * to that time: the duration of the acceptance, the time under previous holders of the duty, and the phases
 * of the item that was listed last.
 */

import type { ItemPhase, PhaseTimes } from '../steps/itemPhases.ts'
import { itemPhases } from '../steps/itemPhases.ts'
import type { LogLine } from './explanation.ts'

/** Parts of a step's time, in order. Those after the first two are the phases of the item that was listed last. */
export const stepParts = ['accepting', 'former-holders', ...(Object.keys(itemPhases) as ItemPhase[])] as const
export type StepPart = typeof stepParts[number]

export interface StepAdoption {
  readonly time: number
  readonly host: string
  readonly items: number
}

/** An item whose result is listed. */
export interface ListedItem {
  readonly item: string
  readonly time: number
  readonly phases: PhaseTimes
}

export interface StepSummary {
  readonly step: string
  readonly number: number
  readonly model: string
  /** Time of the submission. All times are milliseconds since the Unix epoch, by the clocks of the hosts that wrote the lines. */
  readonly askedAt: number
  readonly acceptedAt: number
  readonly adoptions: readonly StepAdoption[]
  readonly items: readonly ListedItem[]
  /** Number of items of the step; 0 if no line contains it. */
  readonly itemCount: number
  /** The item with which the wanted groups were completely listed; absent if they never were. */
  readonly wanted: { readonly item: string, readonly time: number, readonly phases: PhaseTimes } | undefined
  /** Time from the submission until the wanted groups are due, in milliseconds; 0 if no line contains it. */
  readonly dueMs: number
  /** Time at which the trainer first requested the end of the step. */
  readonly endAskedAt: number | undefined
  /** Number of reads of the results that returned none although some were listed, or that the host could not answer. */
  readonly failedReads: number
}

/** Summarizes all steps whose acceptance is in the log lines, in the order of their submission. */
export function summarizeSteps (lines: readonly LogLine[]): StepSummary[] {
  const byStep = new Map<string, LogLine[]>()
  for (const line of [...lines].sort((a, b) => a.time - b.time)) {
    const { step } = line.details
    if (typeof step !== 'string') continue
    const stepLines = byStep.get(step) ?? []
    stepLines.push(line)
    byStep.set(step, stepLines)
  }
  return [...byStep].flatMap(([step, stepLines]) => summarizeStep(step, stepLines) ?? []).sort((a, b) => a.askedAt - b.askedAt)
}

function summarizeStep (step: string, lines: readonly LogLine[]): StepSummary | undefined {
  const accepted = lines.find(({ what, details }) => what === 'step submitted' && details.outcome === 'accepted')
  if (accepted === undefined) return undefined
  const adoptions = lines.filter(({ what }) => what === 'step adopted').map(({ time, host, details }) => ({ time, host, items: toNumber(details.items) }))
  const wanted = lines.find(({ what }) => what === 'wanted groups listed')
  return {
    step,
    number: toNumber(accepted.details.number),
    model: String(accepted.details.model ?? ''),
    askedAt: accepted.time - toNumber(accepted.details.tookMs),
    acceptedAt: accepted.time,
    adoptions,
    items: lines.filter(({ what }) => what === 'result listed').map(({ time, details }) => ({ item: String(details.item), time, phases: extractPhases(details) })),
    itemCount: toNumber(accepted.details.items),
    wanted: wanted === undefined ? undefined : { item: String(wanted.details.item), time: wanted.time, phases: extractPhases(wanted.details) },
    dueMs: toNumber(wanted?.details.dueMs),
    endAskedAt: lines.find(({ what }) => what === 'step end asked')?.time,
    failedReads: lines.filter(({ what, details }) => what === 'results read' && details.failed === true).length
  }
}

/** Returns how the time until the wanted groups were listed is spent, in milliseconds, or `undefined` if they never were. */
export function timeBreakdown ({ askedAt, acceptedAt, adoptions, wanted }: StepSummary): Readonly<Partial<Record<StepPart, number>>> | undefined {
  if (wanted === undefined) return undefined
  const lastAdoptedAt = adoptions.filter(({ time }) => time <= wanted.time).at(-1)?.time ?? acceptedAt
  return { accepting: acceptedAt - askedAt, 'former-holders': Math.max(0, lastAdoptedAt - acceptedAt), ...wanted.phases }
}

/** Formats a summary in about ten lines, with times since the submission of the step. */
export function formatStepSummary (summary: StepSummary): string {
  const since = (time: number): string => `${((time - summary.askedAt) / 1000).toFixed(3).padStart(9)} s`
  const breakdown = timeBreakdown(summary)
  return [
    `step ${summary.step}: number ${summary.number} of ${summary.model}, ${summary.itemCount} items`,
    `${since(summary.acceptedAt)}   accepted`,
    ...summary.adoptions.map(({ time, host, items }) => `${since(time)}   adopted by ${host}, ${items} items open`),
    ...summary.items.slice(0, 1).map(({ time, item }) => `${since(time)}   first result listed: ${item}`),
    summary.wanted === undefined ? '              wanted groups never listed' : `${since(summary.wanted.time)}   wanted groups listed, due after ${summary.dueMs / 1000} s; the last item was ${summary.wanted.item}`,
    ...(breakdown === undefined ? [] : [`              breakdown: ${stepParts.flatMap((part) => breakdown[part] === undefined ? [] : [`${part} ${breakdown[part]} ms`]).join(', ')}`]),
    `              ${summary.items.length} of ${summary.itemCount} results listed, ${summary.failedReads} reads failed`,
    summary.endAskedAt === undefined ? '              end not requested' : `${since(summary.endAskedAt)}   end requested`
  ].join('\n')
}

function extractPhases (details: LogLine['details']): PhaseTimes {
  return Object.fromEntries((Object.keys(itemPhases) as ItemPhase[]).flatMap((phase) => typeof details[phase] === 'number' ? [[phase, details[phase]]] : []))
}

function toNumber (value: unknown): number {
  return typeof value === 'number' ? value : 0
}
