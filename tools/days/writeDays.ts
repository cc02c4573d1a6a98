/**
 * Writes one test day per kind and variant of fault into deploy/days. Each fault is injected twice, once
 * early in the day and once in the middle. Combined days inject several faults that overlap.
 */

import { mkdirSync, writeFileSync } from 'node:fs'
import { stringify } from 'smol-toml'

interface Fault {
  readonly kind: string
  readonly [setting: string]: string | number
}

/** Settings of each kind of fault, and its variants. `plan` marks planned operations, which are written under `plan` instead of `faults`. */
const faultVariants: readonly { readonly trouble: Fault, readonly variants: readonly string[], readonly plan?: boolean }[] = [
  { trouble: { kind: 'give_up', share: 0.3, for_s: 5 }, variants: [''] },
  { trouble: { kind: 'srv_crash', share: 0.2, for_s: 5 }, variants: ['', 'dark', 'gone'] },
  { trouble: { kind: 'srv_slow', share: 0.2, x: 4, for_s: 6 }, variants: [''] },
  { trouble: { kind: 'srv_grey', share: 0.2, x: 0.4, for_s: 5 }, variants: ['errors', 'shed', 'busy', 'hang', 'reset', 'mute', 'slow'] },
  { trouble: { kind: 'srv_cut', share: 0.2, for_s: 5 }, variants: ['', 'some', 'reborn'] },
  { trouble: { kind: 'release', share: 0.5, x: 1, gap_s: 1 }, variants: [''], plan: true },
  { trouble: { kind: 'scale_in', share: 0.15 }, variants: ['', 'spot'], plan: true },
  { trouble: { kind: 'scale_out', share: 0.3 }, variants: [''], plan: true },
  { trouble: { kind: 'replace_with_reuse', share: 0.15 }, variants: ['', 'drain', 'dark'] },
  { trouble: { kind: 'answer_lost', share: 0.5, x: 0.05, for_s: 5 }, variants: ['', 'reset'] },
  { trouble: { kind: 'garble', share: 0.5, x: 0.05, for_s: 5 }, variants: ['', 'extra', 'extra late', 'unframed', 'early'] },
  { trouble: { kind: 'applied_late', x: 0.5, for_s: 6 }, variants: ['orders', 'all'] },
  { trouble: { kind: 'node_kill', on: 'core', count: 1, for_s: 3 }, variants: ['leader', 'leader power', 'leader race drain'] },
  { trouble: { kind: 'herd_kill', share: 0.6, for_s: 2 }, variants: ['', 'power'] },
  { trouble: { kind: 'node_freeze', on: 'core', count: 1, for_s: 4 }, variants: ['leader', 'renewed'] },
  { trouble: { kind: 'node_slow', on: 'core', count: 1, x: 5, for_s: 5 }, variants: ['leader'] },
  { trouble: { kind: 'roll_term', share: 0.5, x: 1, gap_s: 1 }, variants: ['', 'busy'], plan: true },
  { trouble: { kind: 'add_nodes', count: 1 }, variants: [''], plan: true },
  { trouble: { kind: 'replace_core', x: 2 }, variants: ['', 'planned'] },
  { trouble: { kind: 'after_ack_kill', for_s: 3 }, variants: ['', 'timed', 'taken'] },
  { trouble: { kind: 'hup', share: 0.6, gap_s: 2 }, variants: [''], plan: true },
  { trouble: { kind: 'core_cut', count: 1, for_s: 5 }, variants: ['leader', 'leader race', 'giver reset', 'leader one_way'] },
  { trouble: { kind: 'node_cut', share: 0.2, for_s: 5 }, variants: ['', 'all', 'servers'] },
  { trouble: { kind: 'lossy', x: 0.03, for_s: 5 }, variants: [''] },
  { trouble: { kind: 'reset_conns', share: 0.3, x: 0.5 }, variants: [''] },
  { trouble: { kind: 'clock_step', share: 0.3, x: 2000, for_s: 5 }, variants: ['ahead', 'back'] },
  { trouble: { kind: 'platform_down', for_s: 4 }, variants: ['silent', 'busy', 'reset', 'silent lapse'] },
  { trouble: { kind: 'platform_down', share: 0.35, for_s: 6 }, variants: ['nodes busy', 'nodes many', 'nodes leader silent', 'nodes reset revoke meet'] },
  { trouble: { kind: 'platform_slow', x: 60, for_s: 5 }, variants: [''] },
  { trouble: { kind: 'platform_lost', x: 0.35, for_s: 5 }, variants: ['', 'late'] },
  { trouble: { kind: 'platform_compact', x: 5, for_s: 1 }, variants: ['', 'keyed', 'rebalance', 'rewind'] },
  { trouble: { kind: 'config_change' }, variants: ['route', 'weights', 'timeout', 'idle'], plan: true },
  { trouble: { kind: 'big_config', count: 350 }, variants: [''], plan: true },
  { trouble: { kind: 'burst', x: 3, for_s: 5 }, variants: [''] }
]

/** Times at which a fault is injected, in seconds. */
const FIRST_S = 5
const SECOND_S = 17

interface NamedDay {
  readonly name: string
  readonly faults: readonly Fault[]
  readonly plan?: readonly Fault[]
}

/** A day on which connections to the store go silent for good, followed by changes that every host has to receive: a configuration change, and targets that leave. */
function unansweredConnectionsDay (name: string, share: number, at: number): NamedDay {
  return {
    name,
    faults: [{ kind: 'reset_conns', how: 'silent store', share, at }],
    plan: [{ kind: 'config_change', how: 'route', at: 13.5 }, { kind: 'scale_in', share: 0.1, at: 14 }]
  }
}

const combinedDays: readonly NamedDay[] = [
  unansweredConnectionsDay('unanswered', 0.7, 9),
  unansweredConnectionsDay('unanswered-all-early', 1, 4),
  unansweredConnectionsDay('unanswered-half-at-change', 0.5, 13.4),
  unansweredConnectionsDay('unanswered-few-late', 0.3, 12),
  { name: 'pair-kill-and-outage', faults: [{ kind: 'platform_down', how: 'silent', for_s: 4, at: 8 }, { kind: 'node_kill', on: 'core', count: 1, how: 'leader', for_s: 3, at: 9 }] },
  { name: 'pair-freeze-and-late-orders', faults: [{ kind: 'applied_late', how: 'orders', x: 0.5, for_s: 8, at: 6 }, { kind: 'node_freeze', on: 'core', count: 1, how: 'leader', for_s: 4, at: 8 }] },
  { name: 'pair-cut-and-slow-engine', faults: [{ kind: 'srv_slow', share: 0.2, x: 4, for_s: 8, at: 6 }, { kind: 'core_cut', count: 1, how: 'leader', for_s: 6, at: 8 }] },
  { name: 'pair-lost-answers-and-herd', faults: [{ kind: 'platform_lost', how: 'late', x: 0.35, for_s: 6, at: 6 }, { kind: 'herd_kill', share: 0.6, for_s: 2, at: 8 }] },
  { name: 'pair-slow-store-and-crash', faults: [{ kind: 'platform_slow', x: 60, for_s: 6, at: 6 }, { kind: 'srv_crash', how: 'dark', share: 0.2, for_s: 5, at: 8 }] },
  // Keys that are revoked while hosts cannot receive the revocation.
  { name: 'revoke-in-outage', faults: [{ kind: 'platform_down', how: 'silent', for_s: 9, at: 8 }], plan: [{ kind: 'revoke', count: 6, gap_s: 0.6, at: 6 }, { kind: 'revoke', count: 2, how: 'last', gap_s: 0.5, at: 18 }] },
  { name: 'revoke-in-cuts', faults: [{ kind: 'node_cut', share: 0.3, how: 'meet', for_s: 9, at: 6 }, { kind: 'platform_down', share: 0.35, how: 'nodes silent revoke meet', for_s: 9, at: 18 }], plan: [{ kind: 'revoke', count: 6, gap_s: 0.8, at: 7 }] },
  { name: 'revoke-in-freezes', faults: [{ kind: 'node_freeze', on: 'core', share: 0.25, for_s: 7, at: 6 }, { kind: 'node_freeze', on: 'core', share: 0.25, for_s: 6, at: 17 }], plan: [{ kind: 'revoke', count: 5, gap_s: 0.6, at: 6.5 }, { kind: 'revoke', count: 5, gap_s: 0.6, at: 17.5 }] },
  { name: 'revoke-and-clock-steps', faults: [{ kind: 'clock_step', how: 'back', share: 0.3, x: 2000, for_s: 5, at: 6 }, { kind: 'clock_step', how: 'ahead', share: 0.3, x: 2000, for_s: 5, at: 15 }, { kind: 'node_freeze', on: 'core', share: 0.2, for_s: 6, at: 8 }], plan: [{ kind: 'revoke', count: 8, gap_s: 1, at: 6.5 }] },
  // Duty holders that fail between the end of a usage window and its report.
  { name: 'duty-holders-killed', faults: [5, 9.5, 14, 18.5, 23].map((at) => ({ kind: 'node_kill', on: 'core', count: 1, how: 'leader', for_s: 3, at })) },
  { name: 'duty-holders-frozen', faults: [6, 13, 20].map((at) => ({ kind: 'node_freeze', on: 'core', count: 1, how: 'leader', for_s: 4.5, at })) },
  { name: 'duty-interface-away', faults: [{ kind: 'cloud_down', how: 'silent', for_s: 6, at: 5 }, { kind: 'cloud_slow', x: 50, for_s: 6, at: 14 }, { kind: 'node_kill', on: 'core', count: 1, how: 'leader', for_s: 3, at: 8 }, { kind: 'cloud_down', how: 'busy', for_s: 5, at: 22 }] },
  { name: 'targets-reclaimed-in-steps', faults: [{ kind: 'scale_in', how: 'reclaim', x: 2, for_s: 6, at: 6 }, { kind: 'scale_in', how: 'reclaim dry', x: 2, for_s: 6, at: 16 }] },
  // Appends that take effect late while hosts cannot reach the store, after which every host restarts and reloads its topics.
  {
    name: 'pair-lost-answers-and-restarts',
    faults: [{ kind: 'platform_down', how: 'busy', for_s: 4.5, at: 3.4 }, { kind: 'platform_lost', how: 'late', x: 0.35, for_s: 4.5, at: 8.2 }, { kind: 'platform_down', how: 'nodes many', share: 0.35, for_s: 5, at: 12.9 }],
    plan: [{ kind: 'roll_term', share: 1, x: 1, gap_s: 1, at: 20 }]
  }
]

const closings: readonly Fault[] = [
  { kind: 'power_off_all', down_s: 1, how: 'all taken' },
  { kind: 'power_off_all', down_s: 1, how: 'timed' },
  { kind: 'kill_all', down_s: 1 }
]

function writeDay (name: string, day: object): void {
  writeFileSync(`deploy/days/${name}.toml`, `${stringify({ name, slot: 'trouble', seed: 1, ...day })}\n`)
}

mkdirSync('deploy/days', { recursive: true })
for (const { trouble: fault, variants, plan = false } of faultVariants) {
  for (const variant of variants) {
    const entries = [FIRST_S, SECOND_S].map((at) => ({ ...fault, at, ...(variant === '' ? {} : { how: variant }) }))
    writeDay([fault.kind, ...variant.split(' ')].filter((word) => word !== '').join('-').replaceAll('_', '-'), plan ? { plan: entries } : { faults: entries })
  }
}
for (const { name, ...day } of combinedDays) writeDay(name, day)
for (const closing of closings) writeDay(['closing', closing.kind, ...String(closing.how ?? '').split(' ')].filter((word) => word !== '').join('-').replaceAll('_', '-'), { closing })
