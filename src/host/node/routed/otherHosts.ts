/** How a host reaches the other hosts, which of them it knows, and what it is among them. */

import { DutyCandidacy } from '../../../actors/common/duties/dutyCandidacy.ts'
import { Membership } from '../../../actors/common/membership/membership.ts'
import { Connections } from '../../../adapters/node/connections.ts'
import { JsonRpcHandlers, JsonRpcPeers } from '../../../adapters/node/jsonRpcPeers.ts'
import { asPlace } from '../../../base/common/ids.ts'
import type { HostBase } from './hostBase.ts'

/** The duty of running the steps. */
export const STEPS_DUTY = 'steps'
/** Longest silence of another host within a call or of one that calls, in milliseconds. */
export const PEER_SILENCE_MS = 5000
const PEER_CONNECTIONS = 16

export interface OtherHosts {
  readonly peers: JsonRpcPeers
  readonly handlers: JsonRpcHandlers
  readonly membership: Membership
  readonly standing: DutyCandidacy
}

export function createOtherHosts ({ settings, host, ownAddress, processor, services, disposables }: HostBase): OtherHosts {
  const { limits, membership: known, mechanisms } = settings
  const connections = disposables.add(new Connections({ maximumAnswerBytes: limits.answer_bytes, connectTimeoutMs: limits.connect_timeout, connections: PEER_CONNECTIONS, silenceMs: PEER_SILENCE_MS }))
  const peers = new JsonRpcPeers(connections, connections, settings.peers.key, services.metrics)
  const handlers = new JsonRpcHandlers()
  const membership = disposables.add(new Membership({ ...services, peers, handlers }, {
    seeds: known.seeds.filter((address) => address !== ownAddress),
    probePeriodMs: known.probe_period,
    probeTimeoutMs: known.probe_timeout,
    indirect: known.indirect,
    suspicionMs: known.suspicion,
    forgetMs: known.forget,
    fullExchangeIntervalMs: known.full_exchange
  }, { host, address: ownAddress, place: asPlace(settings.host.place), processor }))
  const standing = new DutyCandidacy({ ...services, membership }, { duty: STEPS_DUTY, host, processor: mechanisms.small_host_delay ? processor : undefined })
  return { peers, handlers, membership, standing }
}
