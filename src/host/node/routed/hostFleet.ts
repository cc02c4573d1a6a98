/** Wires up orders of rented targets, which the holder of the duty sends for all hosts. */

import { FleetController } from '../../../actors/common/fleet/fleetController.ts'
import { ConnectionPools } from '../../../adapters/node/connectionPools.ts'
import { HttpPlatformDuties, MAX_DUTY_ANSWER_BYTES } from '../../../adapters/node/httpPlatformDuties.ts'
import type { RoutedSettings } from '../../../settings/common/routedSettings.ts'
import { dutyProtocol } from '../../../../platform/index.ts'
import type { FollowedTopics } from './followedTopics.ts'
import type { HostContext } from './hostContext.ts'
import type { HostSteps } from './hostSteps.ts'
import type { OtherHosts } from './otherHosts.ts'

/** Only one call is in flight at a time; the second connection replaces one that stops responding. */
const MAX_ORDER_CONNECTIONS = 2
const ORDER_IDLE_TIMEOUT_MS = 5000

/** Whether targets may be ordered according to the settings. */
export function ordersTargets ({ fleet, mechanisms }: RoutedSettings): boolean {
  return fleet !== undefined && mechanisms.rented_targets && dutyProtocol.acceptsScaling(fleet.duties)
}

/** Starts to order targets whenever this host holds the duty, if the settings allow it. */
export function startHostFleet (context: HostContext, { membership }: OtherHosts, { operator, targets, targetTopic }: FollowedTopics, { duty, home }: HostSteps): FleetController | undefined {
  const { settings, services, machine, disposables } = context
  if (settings.fleet === undefined || !ordersTargets(settings)) return undefined
  const connections = disposables.add(new ConnectionPools({ maximumAnswerBytes: MAX_DUTY_ANSWER_BYTES, connectTimeoutMs: settings.limits.connect_timeout, connections: MAX_ORDER_CONNECTIONS, inactivityTimeoutMs: ORDER_IDLE_TIMEOUT_MS }))
  return disposables.add(new FleetController({
    ...services,
    duty,
    duties: new HttpPlatformDuties(connections, dutyProtocol, settings.fleet.address),
    machine,
    routes: () => operator.routes,
    targets: (service) => targets.available(service).map(({ definition }) => definition),
    isRegistryCurrent: () => targetTopic.isCurrent,
    startedAtMs: services.clock.monotonic(),
    knownPlaces: () => [settings.host.place, ...membership.members().map(({ place }) => place), ...targets.places()],
    demands: () => home.slotDemands()
  }))
}
