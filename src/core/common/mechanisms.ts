/**
 * Decisions that an experiment can leave out one by one, to learn what each is worth under a deployment's own load.
 * Left out, a decision is replaced by the simplest one there is. Deployments run with all of them, and so do the tests of promises.
 */

/** Each mechanism with what happens where it is left out. */
export const mechanismMeanings = {
  second_sends: 'a repeatable request whose target is late goes once more over a new connection; without, it waits for the one it was sent to',
  silence_suspicion: 'a target that leaves a request unanswered over a new connection is asked last for a while; without, only refusals and broken answers count',
  nearest_targets: 'among targets that are expected to answer equally soon, those of the own failure domain go first; without, any',
  caller_slot: 'background calls leave a slot of each target to callers that wait; without, they may take all',
  moves: 'a long run goes on at a faster engine with a free slot; without, it stays where it began',
  long_on_fastest: 'long items go to the fastest engines; without, all are spread alike',
  prompt_affinity: 'among engines that are loaded alike, one that has read the prompt of the group goes first; without, any',
  step_order: 'the items of a step are planned by groups and lengths; without, they are taken as they were submitted',
  start_order: 'waiting items of all steps start by their latest start; without, step after step',
  head_starts: 'items that a step will leave over begin under newer weights; without, they begin with the step that asks for them again',
  progress: 'texts of running items are saved now and then; without, a new holder begins them anew',
  loads_at_once: 'engines load a version as soon as it is named; without, while no item waits for a slot',
  held_requests: 'a request under which two targets ended is tried at one target at a time, twice, and hardly ever after that; without, it is sent like any other',
  relays: 'a host that does not reach the store calls it through another host; without, it waits for the store',
  small_host_delay: 'hosts with less than a core wait before they claim the duty; without, all claim alike'
} as const satisfies Readonly<Record<string, string>>

export type Mechanism = keyof typeof mechanismMeanings

/** Which mechanisms are in use. */
export type Mechanisms = Readonly<Record<Mechanism, boolean>>

export const mechanismNames = Object.keys(mechanismMeanings) as Mechanism[]

/** All of them in use, as everywhere but in an experiment. */
export const allMechanisms = Object.fromEntries(mechanismNames.map((name) => [name, true])) as Mechanisms

/** Names of those that are left out. */
export function leftOut (mechanisms: Mechanisms): Mechanism[] {
  return mechanismNames.filter((name) => !mechanisms[name])
}
