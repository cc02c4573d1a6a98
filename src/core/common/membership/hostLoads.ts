/**
 * The loads of other hosts. A host hears directly from its neighbours only, but lists all hosts in answers to address queries, so
 * its probes also pass on loads of other hosts. A load that arrives late never replaces a newer one. Loads that have changed are
 * passed on first, as those of idle hosts are stated several times per second and would displace them.
 */

import type { HostId } from '../../../base/common/ids.ts'

/** The load of a host, as passed on between hosts. */
export interface HostLoad {
  readonly host: HostId
  /** 0 to 1, where 1 means that the host accepts no callers. */
  readonly load: number
  /** Time since the host stated it, in milliseconds. */
  readonly ageMs: number
}

interface KnownLoad {
  readonly load: number
  readonly statedAtMs: number
  /** Number of messages that passed it on since it changed. */
  sent: number
}

/** Number of loads in a message that does not carry the full member table. With two probes per second and host, a change reaches 300 hosts within a few seconds. */
const MAX_LOADS_PER_MESSAGE = 16
/** Smaller differences do not matter for the number of callers that a host receives. */
const MIN_CHANGE = 0.1

export class HostLoads {
  private readonly loads = new Map<HostId, KnownLoad>()

  loadOf (host: HostId): number | undefined {
    return this.loads.get(host)?.load
  }

  /** Records a load unless a newer one of the same host is known. */
  record ({ host, load, ageMs }: HostLoad, nowMs: number): void {
    const statedAtMs = nowMs - ageMs
    const known = this.loads.get(host)
    if (known !== undefined && known.statedAtMs >= statedAtMs) return
    const hasChanged = known === undefined || Math.abs(load - known.load) >= MIN_CHANGE || (load < 1) !== (known.load < 1)
    this.loads.set(host, { load, statedAtMs, sent: hasChanged ? 0 : known.sent })
  }

  delete (host: HostId): void {
    this.loads.delete(host)
  }

  /** Returns loads to pass on: all for a message with the full member table, otherwise those that were passed on least often. */
  take (nowMs: number, all: boolean): HostLoad[] {
    const leastSent = [...this.loads].sort(([, a], [, b]) => a.sent - b.sent || b.statedAtMs - a.statedAtMs)
    return (all ? leastSent : leastSent.slice(0, MAX_LOADS_PER_MESSAGE)).map(([host, known]) => {
      known.sent++
      return { host, load: known.load, ageMs: Math.round(nowMs - known.statedAtMs) }
    })
  }
}
