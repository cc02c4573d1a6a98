/**
 * Which items of an open step are begun once more under newer weights, for the sake of a step to come.
 * Load pattern: a trainer waits for a part of a step's groups, whichever are whole first; the others come again
 * in a later step, which waits for them in any case and may not use texts of the weights that this step began
 * with. What a step ends without are the groups with the longest items, so the later step would begin to make
 * the longest texts of all at its own start, and they alone would decide how long it takes. Engines have free
 * slots in the later part of a step: there these items get a text of their own from the first token on, under
 * weights that the later step may use, and that step goes on from it. The run of the open step goes on beside
 * it, as no estimate tells for sure which groups it will end without. Without head starts a modelled day has 0.024 less of
 * the mean share in time of all and of the two worst steps (120 days, paired, standard error 0.011).
 */

import type { ItemLengths } from './itemLengths.ts'

/** An item as far as it has come. */
export interface ItemProgress {
  readonly id: string
  readonly group: string
  readonly expectedTokens: number
  /** Events of its text. */
  readonly events: number
  readonly listed: boolean
}

export interface StepProgress {
  readonly wantedGroups: number
  readonly items: readonly ItemProgress[]
  /** Groups that an earlier step left over: the trainer waits for them, so they are not left over again. */
  readonly carried: ReadonlySet<string>
}

/** Groups beyond those that the step can do without that get a head start too: which ones it ends without is known at its end only. */
const MARGIN_GROUPS = 2
/** Shortest item, in relation to the longest that is still to come, that is worth a head start: the others are done sooner in any case. */
const WORTH_SHARE = 0.4

/** Part of an engine service's slots that head starts take at most, and while items of an open step wait for slots. */
const IDLE_SHARE = 1 / 6
const BUSY_SHARE = 1 / 12

/** Head starts that may run at once on so many slots. A few may while items wait: what is left over then is longer than what waits. */
export function mostHeadStarts (slots: number, waiting: boolean): number {
  return Math.floor(slots * (waiting ? BUSY_SHARE : IDLE_SHARE))
}

/** Items that should have a head start, those that need the longest first. */
export function planHeadStarts ({ wantedGroups, items, carried }: StepProgress, lengths: Pick<ItemLengths, 'remainingEvents'>): string[] {
  const groups = new Set(items.map(({ group }) => group))
  const open = items.filter(({ listed }) => !listed)
  const remaining = new Map<string, number>()
  for (const item of open) remaining.set(item.group, Math.max(remaining.get(item.group) ?? 0, lengths.remainingEvents(item)))
  const missing = wantedGroups - (groups.size - remaining.size)
  if (missing <= 0) return []
  const ranked = [...remaining].filter(([group]) => !carried.has(group)).sort(([, a], [, b]) => b - a).map(([group]) => group)
  const spare = new Set(ranked.slice(0, remaining.size - missing + MARGIN_GROUPS))
  const needs = items.filter(({ group }) => spare.has(group)).map((item) => ({ id: item.id, events: item.listed ? item.events : item.events + lengths.remainingEvents(item) }))
  const longest = Math.max(0, ...needs.map(({ events }) => events))
  return needs.filter(({ events }) => events >= longest * WORTH_SHARE).sort((a, b) => b.events - a.events).map(({ id }) => id)
}

/** Versions by which the oldest usable one rises from one step to the next: a trainer names one for each step that it ends. */
const VERSIONS_A_STEP = 1

/**
 * Oldest version that the step may use which will have what this one leaves over: it is the first that is asked after this
 * one has ended. `newer` counts the steps that are open and came after this one, `usual` those that came while the last
 * step of the model that has ended was open.
 */
export function minimumAfter (minimumVersion: number, newer: number, usual: number): number {
  return minimumVersion + (Math.max(newer, usual) + 1) * VERSIONS_A_STEP
}
