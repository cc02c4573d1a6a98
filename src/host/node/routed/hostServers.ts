/** The servers of a host: for callers, for address and readiness queries, and for other hosts. */

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
import { CallerAddresses } from './callerAddresses.ts'
import type { FollowedTopics } from './followedTopics.ts'
import { queryServerLimits } from './queryServerLimits.ts'
import type { HostContext } from './hostContext.ts'
import type { HostSteps } from './hostSteps.ts'
import type { OtherHosts } from './otherHosts.ts'
import { PEER_IDLE_TIMEOUT_MS } from './otherHosts.ts'

/** Allows a few concurrent calls from each host that knows this one. */
const MAX_PEER_REQUESTS = 256

export interface HostServerDependencies {
  readonly others: OtherHosts
  readonly topics: FollowedTopics
  readonly steps: HostSteps
  readonly forward: ForwardRoutes
  readonly isStopping: () => boolean
}

export interface HostServers {
  readonly front: FrontServer
  readonly callerAddresses: CallerAddresses
  readonly isReady: () => boolean
  listen (): Promise<void>
}

export function createHostServers (context: HostContext, { others, topics, steps, forward, isStopping }: HostServerDependencies): HostServers {
  const { settings, services, clientMemory: memory, disposables, connectionShares: shares } = context
  const { limits, listen } = settings
  const { operator, targetTopic, topic } = topics
  const isReady = (): boolean => !isStopping() && operator.routes !== undefined && targetTopic.loaded && topic.loaded
  const front = disposables.add(new FrontServer({
    ...services,
    memory,
    protocol: frontProtocol,
    operator,
    callerAuthenticator: new CallerAuthenticator({ ...services, operator }, { maxRevocationDelayMs: settings.identity.revocation }),
    whenLoaded: async (need, limitMs) => { await Promise.all((need === 'routes' ? [operator, targetTopic] : [operator, topic]).map(async (followed) => await followed.whenLoaded(limitMs))) },
    forward,
    steps: new StepRoutes(steps.submissionApi, frontProtocol)
  }, { listen: listen.callers, maximumConnections: shares.callers, maximumPipelinedRequests: limits.pipelined_requests, unreadTimeoutMs: limits.caller_pause, maximumHeadBytes: limits.head_bytes, isStopping }))
  const callerAddresses = createCallerAddresses(context, others, isReady)
  const [directory, readiness] = [shares.directory, shares.readiness].map((maximumConnections) => disposables.add(new DirectoryServer({ ...services, memory, protocol: frontProtocol, isReady, addresses: (place) => callerAddresses.list(place) }, limits.valid_for, queryServerLimits(settings, maximumConnections)))) as [DirectoryServer, DirectoryServer]
  const peerServer = createPeerServer(context, others, isStopping)
  return {
    front,
    callerAddresses,
    isReady,
    listen: async () => { await Promise.all([peerServer.listen(), front.listen(), directory.listen(listen.directory), readiness.listen(listen.readiness)]) }
  }
}

function createCallerAddresses ({ settings, services, host }: HostContext, { membership }: OtherHosts, isReady: () => boolean): CallerAddresses {
  const { port } = new URL(`http://${settings.listen.callers}`)
  return new CallerAddresses({ ...services, membership, isReady }, { host, port, spread: settings.mechanisms.caller_spread })
}

function createPeerServer ({ settings, services, clientMemory: memory, disposables, connectionShares }: HostContext, { handlers }: OtherHosts, isStopping: () => boolean): EntryServer {
  const router = new Router()
  new PeerRoutes(handlers).register(router)
  return disposables.add(new EntryServer({ ...services, memory, router, identities: new Identities({ peers: settings.peers, callers: [], operators: [] }) }, {
    listen: settings.listen.peers,
    maximumConnections: connectionShares.peers,
    maximumPipelinedRequests: settings.limits.pipelined_requests,
    unreadTimeoutMs: settings.limits.caller_pause,
    maximumRequests: MAX_PEER_REQUESTS,
    bodyTimeoutMs: PEER_IDLE_TIMEOUT_MS,
    maximumBodyBytes: settings.store.call_bytes,
    chance: services.chance,
    alternatives: () => [],
    leaving: isStopping
  }))
}
