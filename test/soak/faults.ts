/** Faults of a soak: what happens when is drawn from the seed; they overlap, and each ends by itself. */

import type { Fleet, FleetHost } from '../platform/support/fleet.ts'
import type { DoorFault } from '../platform/support/storeStandIn.ts'
import type { TargetFault } from '../platform/support/targetStandIn.ts'
import type { Draw } from './chance.ts'
import type { Link } from './link.ts'
import { linkFaults } from './link.ts'

export interface SoakedFleet {
  readonly fleet: Fleet
  /** Ways of callers to the hosts, and of the hosts to the store, by host. */
  readonly callerLinks: readonly Link[]
  readonly storeLinks: readonly Link[]
  /** Plans a change of the configuration, whose number is so much higher; the result gives what the operator writes then. */
  readonly planConfiguration: (by: number, details: Record<string, object>) => () => object
}

export interface PlannedFault {
  readonly atMs: number
  readonly name: string
  /** Begins it; the result ends it. */
  readonly begin: () => void | (() => void)
  readonly forMs: number
}

const doorFaults: readonly DoorFault[] = ['busy', 'many', 'reset', 'silent']
const targetFaults: readonly TargetFault[] = ['full', 'fails', 'resets', 'silent', 'foreign', 'unsealed', 'short', 'extra', 'breaks']
/** A host that was killed or stopped starts again after this time at least, in milliseconds. */
const RESTART_MS = 300

/** Starts a host again once its process is gone. */
function restart ({ process }: FleetHost): void {
  if (!process.running) process.start()
  else process.ended().then(() => { if (!process.running) process.start() }, () => undefined)
}

/** Faults for a soak of this length. */
export function planFaults (draw: Draw, { fleet, callerLinks, storeLinks, planConfiguration }: SoakedFleet, lengthMs: number, count: number): PlannedFault[] {
  let model = 1
  const kinds: Readonly<Record<string, () => PlannedFault['begin']>> = {
    kill: () => {
      const host = draw.oneOf(fleet.hosts)
      return () => {
        host.process.kill().catch(() => undefined)
        return () => { restart(host) }
      }
    },
    'kill all': () => () => {
      for (const { process } of fleet.hosts) process.kill().catch(() => undefined)
      return () => { for (const host of fleet.hosts) restart(host) }
    },
    freeze: () => {
      const host = draw.oneOf(fleet.hosts)
      return () => {
        host.process.freeze()
        return () => { host.process.wake() }
      }
    },
    stop: () => {
      const host = draw.oneOf(fleet.hosts)
      return () => {
        host.process.terminate()
        return () => { restart(host) }
      }
    },
    reload: () => {
      const host = draw.oneOf(fleet.hosts)
      return () => { if (host.process.running) process.kill(host.process.pid, 'SIGHUP') }
    },
    'store away': () => {
      const fault = draw.oneOf(doorFaults)
      return () => {
        for (const { door } of fleet.hosts) door.fault = fault
        return () => { for (const { door } of fleet.hosts) door.fault = 'none' }
      }
    },
    'store turns one away': () => {
      const { door } = draw.oneOf(fleet.hosts)
      const fault = draw.oneOf(doorFaults)
      return () => {
        door.fault = fault
        return () => { door.fault = 'none' }
      }
    },
    'store loses answers': () => {
      const { door } = draw.oneOf(fleet.hosts)
      const answers = draw.between(1, 4)
      return () => { door.loseAnswers += answers }
    },
    'store forgets': () => {
      const topic = draw.oneOf(['keyed.bulrushvalve', 'keyed.bulrushvalve.contents', 'keyed.servers', 'keyed.op'])
      return () => { fleet.store.compact(topic) }
    },
    'callers link': () => linkFault(draw, callerLinks),
    'store link': () => linkFault(draw, storeLinks),
    target: () => {
      const target = draw.oneOf(fleet.targets)
      const fault = draw.oneOf(targetFaults)
      const requests = draw.between(1, 5)
      return () => {
        target.fault = fault
        target.faults = requests
        return () => { target.fault = 'none' }
      }
    },
    drain: () => {
      const target = draw.oneOf(fleet.targets)
      return () => {
        target.drain()
        return () => {
          target.draining = false
          target.register()
        }
      }
    },
    configuration: () => {
      const configured = planConfiguration(draw.between(1, 3), { 'look-up': { timeout_ms: draw.between(1000, 2000) } })
      return () => { fleet.store.put('keyed.op', 'config', configured()) }
    },
    'version named': () => {
      model++
      const named = { model: 'm', version: model }
      return () => { fleet.store.put('keyed.op', 'version/m', named) }
    }
  }
  const names = Object.keys(kinds)
  return Array.from({ length: count }, () => ({ name: draw.oneOf(names), atMs: draw.between(0, lengthMs), forMs: draw.between(RESTART_MS, 2500) }))
    .sort((a, b) => a.atMs - b.atMs)
    .map(({ name, ...times }) => ({ name, ...times, begin: kinds[name]?.() ?? (() => undefined) }))
}

function linkFault (draw: Draw, links: readonly Link[]): PlannedFault['begin'] {
  const link = draw.oneOf(links)
  const fault = draw.oneOf(linkFaults)
  return () => {
    link.set(fault)
    return () => { link.set('open') }
  }
}
