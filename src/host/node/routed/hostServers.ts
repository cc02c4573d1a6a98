/** Where a host is reached: by callers, by those who ask which hosts to use, and by other hosts. */

import type { Membership } from '../../../actors/common/membership/membership.ts'
import { CallerAuthenticator } from '../../../actors/common/identity/callerAuthenticator.ts'
import { EntryServer } from '../../../entry/node/entryServer.ts'
import { Identities } from '../../../entry/common/identity.ts'
import { DirectoryServer } from '../../../entry/node/front/directoryServer.ts'
import type { ForwardRoutes } from '../../../entry/node/front/forwardRoutes.ts'
import { FrontServer } from '../../../entry/node/front/frontServer.ts'
import { StepRoutes } from '../../../entry/node/front/stepRoutes.ts'
import { PeerRoutes } from '../../../entry/node/routes/peerRoutes.ts'
import { Router } from '../../../entry/node/router.ts'
import { frontProtocol } from '../../../../platform/index.ts'
import type { FollowedTopics } from './followedTopics.ts'
import type { HostBase } from './hostBase.ts'
import type { HostSteps } from './hostSteps.ts'
import type { OtherHosts } from './otherHosts.ts'
import { PEER_SILENCE_MS } from './otherHosts.ts'

/** Calls of other hosts that are served at once: a few for each of the hosts that know this one. */
const PEER_REQUESTS = 256

export interface ServedParts {
  readonly others: OtherHosts
  readonly topics: FollowedTopics
  readonly steps: HostSteps
  readonly forward: ForwardRoutes
  readonly isLeaving: () => boolean
}

export interface HostServers {
  readonly front: FrontServer
  readonly isReady: () => boolean
  listen (): Promise<void>
}

export function createServers (base: HostBase, { others, topics, steps, forward, isLeaving }: ServedParts): HostServers {
  const { settings, services, disposables } = base
  const { limits, listen } = settings
  const { operator, targetTopic, topic } = topics
  const isReady = (): boolean => !isLeaving() && operator.routes !== undefined && targetTopic.loaded && topic.loaded
  const front = disposables.add(new FrontServer({
    ...services,
    protocol: frontProtocol,
    operator,
    gate: new CallerAuthenticator({ ...services, operator }, { maxRevocationDelayMs: settings.identity.revocation }),
    whenLoaded: async (need, limitMs) => { await Promise.all((need === 'routes' ? [operator, targetTopic] : [operator, topic]).map(async (followed) => await followed.whenLoaded(limitMs))) },
    forward,
    steps: new StepRoutes(steps.desk, frontProtocol)
  }, { listen: listen.callers, maximumConnections: limits.connections, headBytes: limits.head_bytes, heldBytes: limits.held_bytes, isLeaving }))
  const addresses = (): string[] => callersAddresses(base, others.membership, isReady)
  const [directory, readiness] = [0, 1].map(() => disposables.add(new DirectoryServer({ protocol: frontProtocol, isReady, addresses }, limits.valid_for))) as [DirectoryServer, DirectoryServer]
  const peerServer = createPeerServer(base, others, isLeaving)
  return {
    front,
    isReady,
    listen: async () => { await Promise.all([peerServer.listen(), front.listen(), directory.listen(listen.directory), readiness.listen(listen.readiness)]) }
  }
}

/** Where callers may connect. All hosts of a deployment use the same ports, so a member's callers' address is its own IP with this host's port. */
function callersAddresses ({ settings, host }: HostBase, membership: Membership, isReady: () => boolean): string[] {
  const { port } = new URL(`http://${settings.listen.callers}`)
  return membership.available()
    .filter((member) => member.host === host ? isReady() : (membership.loadOf(member.host) ?? 1) < 1)
    .map((member) => `${new URL(member.address).hostname}:${port}`)
}

function createPeerServer ({ settings, services, disposables }: HostBase, { handlers }: OtherHosts, isLeaving: () => boolean): EntryServer {
  const router = new Router()
  new PeerRoutes(handlers).register(router)
  return disposables.add(new EntryServer({ ...services, router, identities: new Identities({ peers: settings.peers, callers: [], operators: [] }) }, {
    listen: settings.listen.peers,
    maximumConnections: settings.limits.connections,
    maximumRequests: PEER_REQUESTS,
    bodyTimeoutMs: PEER_SILENCE_MS,
    maximumBodyBytes: settings.store.call_bytes,
    chance: services.chance,
    alternatives: () => [],
    leaving: isLeaving
  }))
}
