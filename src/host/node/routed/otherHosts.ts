/** Wires up communication with other hosts, membership, and this host's rank among candidates for the duty. */

import { DutyCandidacy } from '../../../actors/common/duties/dutyCandidacy.ts'
import { Membership } from '../../../actors/common/membership/membership.ts'
import { ConnectionPools } from '../../../adapters/node/connectionPools.ts'
import { JsonRpcHandlers, JsonRpcPeers } from '../../../adapters/node/jsonRpcPeers.ts'
import { asFailureDomain } from '../../../base/common/ids.ts'
import type { HostContext } from './hostContext.ts'

/** Name of the duty whose holder runs the steps. */
export const STEPS_DUTY = 'steps'
/** Limits how long another host may send nothing during a call, in either direction. */
export const PEER_IDLE_TIMEOUT_MS = 5000
const MAX_PEER_CONNECTIONS = 16

/** Largest answer of another host: several pages of records or contents of steps. */
const MAX_PEER_ANSWER_BYTES = 33_554_432

export interface OtherHosts {
  readonly peers: JsonRpcPeers
  readonly handlers: JsonRpcHandlers
  readonly membership: Membership
  readonly standing: DutyCandidacy
}

export function createOtherHosts ({ settings, host, ownAddress, processor, services, disposables }: HostContext): OtherHosts {
  const { limits, membership: membershipSettings, mechanisms } = settings
  const connections = disposables.add(new ConnectionPools({ maximumAnswerBytes: MAX_PEER_ANSWER_BYTES, connectTimeoutMs: limits.connect_timeout, connections: MAX_PEER_CONNECTIONS, inactivityTimeoutMs: PEER_IDLE_TIMEOUT_MS }))
  const peers = new JsonRpcPeers(connections, connections, settings.peers.key, services.metrics)
  const handlers = new JsonRpcHandlers()
  const membership = disposables.add(new Membership({ ...services, peers, handlers }, {
    seeds: membershipSettings.seeds.filter((address) => address !== ownAddress),
    probePeriodMs: membershipSettings.probe_period,
    probeTimeoutMs: membershipSettings.probe_timeout,
    indirect: membershipSettings.indirect,
    suspicionMs: membershipSettings.suspicion,
    forgetMs: membershipSettings.forget,
    fullExchangeIntervalMs: membershipSettings.full_exchange
  }, { host, address: ownAddress, place: asFailureDomain(settings.host.place), processor }))
  const standing = new DutyCandidacy({ ...services, membership }, { duty: STEPS_DUTY, host, processor: mechanisms.small_host_delay ? processor : undefined })
  return { peers, handlers, membership, standing }
}
