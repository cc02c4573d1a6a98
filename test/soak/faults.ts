/** Faults of the soak test. Kinds and times are drawn from the seed. Faults may overlap, and each has a limited duration. */

import type { Fleet, FleetHost } from '../platform/support/fleet.ts'
import type { EndpointFault } from '../platform/support/storeStandIn.ts'
import type { TargetFault } from '../platform/support/targetStandIn.ts'
import type { SeededRandom } from './seededRandom.ts'
import type { Link } from './link.ts'
import { linkFaults } from './link.ts'

export interface SoakEnvironment {
  readonly fleet: Fleet
  /** Links from callers to hosts and from hosts to the store, by host index. */
  readonly callerLinks: readonly Link[]
  readonly storeLinks: readonly Link[]
  /** Plans a change of the configuration that increases its version by `by`. The result returns the configuration to write when the fault begins. */
  readonly planConfiguration: (by: number, details: Record<string, object>) => () => object
}

export interface PlannedFault {
  readonly atMs: number
  readonly name: string
  /** Starts the fault. The result, if any, ends it. */
  readonly begin: () => void | (() => void)
  readonly forMs: number
}

const doorFaults: readonly EndpointFault[] = ['busy', 'many', 'reset', 'silent']
const targetFaults: readonly TargetFault[] = ['full', 'fails', 'resets', 'silent', 'foreign', 'unsealed', 'short', 'extra', 'breaks']
/** Minimum duration of a fault, in milliseconds. A host that was killed or stopped restarts after the duration of the fault. */
const MIN_FAULT_DURATION_MS = 300

/** Restarts a host once its process has exited. */
function restartHost ({ process }: FleetHost): void {
  if (!process.isRunning) process.start()
  else process.waitForExit().then(() => { if (!process.isRunning) process.start() }, () => undefined)
}

/** Draws `count` faults that begin within `lengthMs`, in the order of their times. */
export function planFaults (draw: SeededRandom, { fleet, callerLinks, storeLinks, planConfiguration }: SoakEnvironment, lengthMs: number, count: number): PlannedFault[] {
  let model = 1
  const kinds: Readonly<Record<string, () => PlannedFault['begin']>> = {
    kill: () => {
      const host = draw.pick(fleet.hosts)
      return () => {
        host.process.kill().catch(() => undefined)
        return () => { restartHost(host) }
      }
    },
    'kill all': () => () => {
      for (const { process } of fleet.hosts) process.kill().catch(() => undefined)
      return () => { for (const host of fleet.hosts) restartHost(host) }
    },
    freeze: () => {
      const host = draw.pick(fleet.hosts)
      return () => {
        host.process.freeze()
        return () => { host.process.resume() }
      }
    },
    stop: () => {
      const host = draw.pick(fleet.hosts)
      return () => {
        host.process.terminate()
        return () => { restartHost(host) }
      }
    },
    reload: () => {
      const host = draw.pick(fleet.hosts)
      return () => { if (host.process.isRunning) process.kill(host.process.pid, 'SIGHUP') }
    },
    'store away': () => {
      const fault = draw.pick(doorFaults)
      return () => {
        for (const { storeEndpoint: door } of fleet.hosts) door.fault = fault
        return () => { for (const { storeEndpoint: door } of fleet.hosts) door.fault = 'none' }
      }
    },
    'store turns one away': () => {
      const { storeEndpoint: door } = draw.pick(fleet.hosts)
      const fault = draw.pick(doorFaults)
      return () => {
        door.fault = fault
        return () => { door.fault = 'none' }
      }
    },
    'store loses answers': () => {
      const { storeEndpoint: door } = draw.pick(fleet.hosts)
      const answers = draw.intBetween(1, 4)
      return () => { door.loseAnswers += answers }
    },
    'store forgets': () => {
      const topic = draw.pick(['keyed.bulrushvalve', 'keyed.bulrushvalve.contents', 'keyed.servers', 'keyed.op'])
      return () => { fleet.store.compact(topic) }
    },
    'callers link': () => linkFault(draw, callerLinks),
    'store link': () => linkFault(draw, storeLinks),
    target: () => {
      const target = draw.pick(fleet.targets)
      const fault = draw.pick(targetFaults)
      const requests = draw.intBetween(1, 5)
      return () => {
        target.fault = fault
        target.faults = requests
        return () => { target.fault = 'none' }
      }
    },
    drain: () => {
      const target = draw.pick(fleet.targets)
      return () => {
        target.drain()
        return () => {
          target.draining = false
          target.register()
        }
      }
    },
    configuration: () => {
      const configured = planConfiguration(draw.intBetween(1, 3), { 'look-up': { timeout_ms: draw.intBetween(1000, 2000) } })
      return () => { fleet.store.put('keyed.op', 'config', configured()) }
    },
    'version named': () => {
      model++
      const named = { model: 'm', version: model }
      return () => { fleet.store.put('keyed.op', 'version/m', named) }
    }
  }
  const names = Object.keys(kinds)
  return Array.from({ length: count }, () => ({ name: draw.pick(names), atMs: draw.intBetween(0, lengthMs), forMs: draw.intBetween(MIN_FAULT_DURATION_MS, 2500) }))
    .sort((a, b) => a.atMs - b.atMs)
    .map(({ name, ...times }) => ({ name, ...times, begin: kinds[name]?.() ?? (() => undefined) }))
}

function linkFault (draw: SeededRandom, links: readonly Link[]): PlannedFault['begin'] {
  const link = draw.pick(links)
  const fault = draw.pick(linkFaults)
  return () => {
    link.set(fault)
    return () => { link.set('open') }
  }
}
