/**
 * Mechanisms that an experiment can disable one by one to determine the effect of each under a deployment's own
 * load. A disabled mechanism is replaced by the simplest alternative. Deployments run with all mechanisms enabled,
 * and so do the tests of guarantees.
 */

/** Describes each mechanism and what happens if it is disabled. */
export const mechanismDescriptions = {
  second_sends: 'an idempotent request whose target is late is sent once more over a new connection; if disabled, it waits for the first attempt',
  silence_suspicion: 'a target that does not answer a request over a new connection is used last for a while; if disabled, only refusals and broken answers count',
  nearest_targets: 'among targets with equal expected response times, those in the same failure domain are preferred; if disabled, any is used',
  caller_slot: 'background calls leave one slot of each target to waiting callers; if disabled, they may use all slots',
  call_queue: 'calls for which no target has room wait in one queue per service, in the order of their ranks, and are refused as soon as they cannot be served in time; if disabled, each call asks all targets again every 40 ms',
  target_slowdown: 'expected times include how slowly targets report to work at the moment; if disabled, all are taken to work at their usual speed',
  target_subset: 'a host prefers some of the targets that report how slowly they work, and those with an idle connection; if disabled, it uses all alike',
  moves: 'a long run moves to a faster engine with a free slot; if disabled, it stays on its first engine',
  long_on_fastest: 'long items go to the fastest engines; if disabled, all items are spread evenly',
  prompt_affinity: 'among equally loaded engines, one that has processed the prompt of the group is preferred; if disabled, any is used',
  step_order: 'the items of a step are ordered by groups and lengths; if disabled, they run in submission order',
  start_order: 'waiting items of all steps start in the order of their latest start times; if disabled, step by step',
  head_starts: 'items that a step will leave over start early under newer weights; if disabled, they start with the step that submits them again',
  progress: 'texts of running items are saved periodically; if disabled, a new holder restarts them',
  loads_at_once: 'engines load a version as soon as it is named; if disabled, while no item waits for a slot',
  held_requests: 'a request during which two targets ended is tried on one target at a time, twice, and rarely after that; if disabled, it is sent like any other',
  relays: 'a host that cannot reach the store calls it through another host; if disabled, it waits for the store',
  caller_spread: 'if more hosts accept callers than an address answer lists, the listed ones are selected by failure domain, size and load, and change over time; if disabled, the first known ones are listed',
  rented_targets: 'targets are ordered as the open steps need them, and items leave targets whose end is announced; if disabled, no targets are ordered, and items stay until their target ends',
  small_host_delay: 'hosts with less than one core wait longer before they claim the duty; if disabled, all hosts claim alike'
} as const satisfies Readonly<Record<string, string>>

export type Mechanism = keyof typeof mechanismDescriptions

/** Whether each mechanism is enabled. */
export type Mechanisms = Readonly<Record<Mechanism, boolean>>

export const mechanismNames = Object.keys(mechanismDescriptions) as Mechanism[]

/** All mechanisms enabled, as everywhere except in experiments. */
export const allMechanisms = Object.fromEntries(mechanismNames.map((name) => [name, true])) as Mechanisms

/** Returns the names of the disabled mechanisms. */
export function disabledMechanisms (mechanisms: Mechanisms): Mechanism[] {
  return mechanismNames.filter((name) => !mechanisms[name])
}
