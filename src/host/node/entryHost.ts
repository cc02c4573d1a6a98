/**
 * Composition root of an entry host: creates adapters, tasks and routes from the settings and injects
 * their dependencies.
 */

import { start } from 'nact'
import { randomUUID } from 'node:crypto'
import type { HostId } from '../../base/common/ids.ts'
import { asHostId, asFailureDomain } from '../../base/common/ids.ts'
import { DisposableStore } from '../../base/common/lifecycle.ts'
import { Appender } from '../../actors/common/log/appender.ts'
import { Checkpointer } from '../../actors/common/log/checkpointer.ts'
import { ControlLog } from '../../actors/common/log/controlLog.ts'
import { Membership } from '../../actors/common/membership/membership.ts'
import { OperatorService } from '../../actors/common/operators/operatorService.ts'
import { Views } from '../../actors/common/operators/views.ts'
import { Completions } from '../../actors/common/requests/completions.ts'
import { ServiceCalls } from '../../actors/common/requests/serviceCalls.ts'
import { GrantClient } from '../../actors/common/routing/grantClient.ts'
import { HomeResolver } from '../../actors/common/routing/homeResolver.ts'
import { ShardAdmissionServer } from '../../actors/common/routing/shardAdmissionServer.ts'
import { PayloadRefresher } from '../../actors/common/samples/payloadRefresher.ts'
import { PayloadStore } from '../../actors/common/samples/payloadStore.ts'
import { RolloutRunner } from '../../actors/common/samples/rolloutRunner.ts'
import { SampleWriter } from '../../actors/common/samples/sampleWriter.ts'
import { RolloutScheduler } from '../../actors/common/samples/rolloutScheduler.ts'
import { TrainerService } from '../../actors/common/samples/trainerService.ts'
import { EngineReconciler } from '../../actors/common/targets/engineReconciler.ts'
import { TargetDirectory } from '../../actors/common/targets/targetDirectory.ts'
import { ConnectionPools } from '../../adapters/node/connectionPools.ts'
import { HttpEngine } from '../../adapters/node/httpEngine.ts'
import { HttpLog } from '../../adapters/node/httpLog.ts'
import { HttpHostList, HttpScorer, HttpService } from '../../adapters/node/httpService.ts'
import { JsonRpcHandlers, JsonRpcPeers } from '../../adapters/node/jsonRpcPeers.ts'
import { NodeRandomSource, NodeClock } from '../../adapters/node/nodeClock.ts'
import { StatsdMetrics } from '../../adapters/node/statsdMetrics.ts'
import { StructuredLog } from '../../adapters/node/structuredLog.ts'
import { createHash } from '../../adapters/node/xxHash.ts'
import { RetryBudget } from '../../core/common/requests/retryBudget.ts'
import { Identities } from '../../entry/common/identity.ts'
import { ClientMemory } from '../../entry/node/clientMemory.ts'
import { EntryServer } from '../../entry/node/entryServer.ts'
import { RequestRegistry } from '../../entry/node/requestRegistry.ts'
import { Router } from '../../entry/node/router.ts'
import { CompletionRoutes } from '../../entry/node/routes/completionRoutes.ts'
import { HostRoutes } from '../../entry/node/routes/hostRoutes.ts'
import { PeerRoutes } from '../../entry/node/routes/peerRoutes.ts'
import { ServiceRoutes } from '../../entry/node/routes/serviceRoutes.ts'
import { TrainerRoutes } from '../../entry/node/routes/trainerRoutes.ts'
import type { Settings } from '../../settings/common/settings.ts'
import { GracefulStop } from './gracefulStop.ts'

/** A running entry host. */
export interface EntryHost {
  readonly host: HostId
  /** Stops gracefully. */
  stop (): Promise<void>
}

const MAX_PEER_CONNECTIONS = 32
const MAX_ALTERNATIVES = 3
const BYTES_PER_MEGABYTE = 1024 * 1024
/** A completion sends nothing while it waits in the queue of the engine, unlike orders and reports. */
const MAX_SILENT_CALL_MS = 3_600_000

/** Starts an entry host. Resolves once it is listening. */
export async function startEntryHost (settings: Settings): Promise<EntryHost> {
  const disposables = new DisposableStore()
  const system = start()
  const clock = new NodeClock()
  const chance = new NodeRandomSource()
  const hash = await createHash()
  const host = asHostId(`${settings.host.name}/${randomUUID().slice(0, 8)}`)
  const metrics = disposables.add(new StatsdMetrics(settings.metrics?.address, host))
  const stateLog = new StructuredLog(host, settings.host.log_level)
  const services = { system, clock, chance, hash, metrics, stateLog }

  const { limits } = settings
  const connectionSettings = { connectTimeoutMs: limits.connect_timeout, maximumAnswerBytes: limits.answer_bytes }
  const platformConnections = disposables.add(new ConnectionPools({ ...connectionSettings, connections: 32, inactivityTimeoutMs: settings.log.timeout + settings.log.long_poll }))
  const targetConnections = disposables.add(new ConnectionPools({ ...connectionSettings, connections: limits.target_connections, inactivityTimeoutMs: limits.target_silence }))
  const peerConnections = disposables.add(new ConnectionPools({ ...connectionSettings, connections: MAX_PEER_CONNECTIONS, inactivityTimeoutMs: MAX_SILENT_CALL_MS }))
  const longRunningPeerConnections = disposables.add(new ConnectionPools({ ...connectionSettings, connections: limits.requests, inactivityTimeoutMs: MAX_SILENT_CALL_MS }))
  const log = new HttpLog(settings.log.address, platformConnections, settings.log.timeout)
  const engine = new HttpEngine(targetConnections, settings.orders.flight)
  const peers = new JsonRpcPeers(peerConnections, longRunningPeerConnections, settings.peers.key, metrics)
  const handlers = new JsonRpcHandlers()

  const membership = disposables.add(new Membership({ ...services, peers, handlers }, {
    seeds: settings.membership.seeds,
    probePeriodMs: settings.membership.probe_period,
    probeTimeoutMs: settings.membership.probe_timeout,
    indirect: settings.membership.indirect,
    suspicionMs: settings.membership.suspicion,
    forgetMs: settings.membership.forget,
    fullExchangeIntervalMs: settings.membership.full_exchange
  }, { host, address: settings.host.address, place: asFailureDomain(settings.host.place) }))
  const fold = disposables.add(new ControlLog({ ...services, log, peers, handlers, directory: membership }, {
    longPollMs: settings.log.long_poll,
    readPauseMs: settings.log.read_pause,
    freshnessMs: settings.log.freshness,
    relayEntries: settings.log.relay_entries
  }))
  const appender = disposables.add(new Appender({ ...services, log, fold }, { batchDelayMs: settings.log.batch_delay, queue: settings.log.queue }))
  const homes = new HomeResolver(membership, hash)
  disposables.add(new Checkpointer({ ...services, log, fold, homes }, { entries: settings.log.checkpoint_entries, intervalMs: settings.log.checkpoint_interval }))

  const directory = new TargetDirectory(fold)
  const shardHomes: ShardAdmissionServer = disposables.add(new ShardAdmissionServer({ ...services, fold, directory, membership, peers, handlers, revokeLocally: (grant) => { grants.revoke(grant) } }))
  const grants: GrantClient = disposables.add(new GrantClient({ ...services, membership, directory, homes, localAdmission: shardHomes, peers, handlers }, limits.grant_use))
  const orders = disposables.add(new EngineReconciler({
    ...services,
    fold,
    appender,
    directory,
    homes,
    membership,
    engine,
    hostList: settings.host_list === undefined ? undefined : new HttpHostList(settings.host_list.address, platformConnections, settings.log.timeout),
    onListed: (hosts) => { membership.setListedAddresses(hosts.filter(({ state }) => state === 'live').map(({ address }) => address)) }
  }, {
    leaseMs: settings.orders.lease,
    maxInFlightMs: settings.orders.flight,
    reconcileMs: settings.orders.reconcile,
    parallel: settings.orders.parallel,
    hostListMs: settings.orders.host_list
  }))

  const payloads = new PayloadStore(log)
  const writer = disposables.add(new SampleWriter({ ...services, payloads, appender, membership, peers, handlers }))
  const scorer = settings.scorer === undefined ? undefined : new HttpScorer(settings.scorer.address, platformConnections, settings.rollouts.score_timeout)
  const runner = new RolloutRunner({ ...services, grants, engine, scorer, payloads, fold }, settings.rollouts.wait)
  const keeper = new PayloadRefresher({ ...services, payloads, appender }, settings.log.payload_refresh)
  const subscriptions = disposables.add(new RolloutScheduler({ ...services, fold, homes, payloads, payloadRefresher: keeper, runner, writer }, { parallel: settings.rollouts.parallel, backlog: settings.log.queue }))
  const trainerApi = new TrainerService({ ...services, fold, appender, payloads }, settings.log.queue_wait)

  const budget = new RetryBudget({ ratio: limits.retry_ratio, maximum: limits.retry_saved })
  const registry = new RequestRegistry()
  const completions = new Completions({ ...services, grants, engine, fold, budget })
  const service = new HttpService(targetConnections, limits.connect_timeout, limits.answer_bytes)
  const serviceCalls = new ServiceCalls({ ...services, grants, service, appender, fold, membership, budget }, { claimWaitMs: settings.log.queue_wait, host })

  const status = () => ({ requests: server.requests, rollouts: subscriptions.runningCount, backlog: writer.backlog + appender.backlog, memoryMegabytes: Math.round(process.memoryUsage.rss() / BYTES_PER_MEGABYTE) })
  const views = new Views({ fold, membership, directory, homes, admissionServer: shardHomes, clock, status })
  const operatorApi = new OperatorService({ ...services, fold, appender, membership, views, peers, handlers }, settings.log.queue_wait)

  const router = new Router()
  new CompletionRoutes({ ...services, completions, fold, registry }, limits.heartbeat).register(router)
  new ServiceRoutes({ ...services, calls: serviceCalls, fold, registry }).register(router)
  new TrainerRoutes({ trainerApi, fold, metrics }, settings.rollouts.pull_wait).register(router)
  new HostRoutes({ fold, membership, operatorApi, metrics }, limits.valid_for).register(router)
  new PeerRoutes(handlers).register(router)
  const server: EntryServer = disposables.add(new EntryServer({ router, identities: new Identities(settings), memory: new ClientMemory(clock, limits.held_bytes), clock, metrics, stateLog }, {
    listen: settings.host.listen,
    maximumConnections: limits.connections,
    maximumPipelinedRequests: limits.pipelined_requests,
    unreadTimeoutMs: limits.caller_pause,
    maximumRequests: limits.requests,
    bodyTimeoutMs: limits.body_timeout,
    maximumBodyBytes: limits.body_bytes,
    chance,
    alternatives: () => membership.available().filter((member) => member.host !== host).map((member) => member.address).slice(0, MAX_ALTERNATIVES),
    leaving: () => stop.isStopping
  }))
  membership.setProbePayload({
    offset: () => fold.state.offset,
    load: () => Math.min(1, server.requests / limits.requests),
    reachesStore: () => fold.isLogAvailable,
    pressures: () => shardHomes.pressures()
  })

  const stop = new GracefulStop({
    announce: () => { membership.leave() },
    stopStartingRollouts: () => { subscriptions.stopStarting() },
    endLeases: async () => { await orders.releaseLeases() },
    inFlight: () => ({ requests: server.requests, rollouts: subscriptions.runningCount, samples: writer.backlog, records: appender.backlog, orders: orders.inFlightOrderCount, grants: grants.inUseCount }),
    close: async () => { await server.close() }
  }, { addressValidForMs: limits.valid_for, timeoutMs: limits.stop_timeout }, clock, stateLog)
  await server.listen()
  stateLog.changed('listening', { address: settings.host.address, place: settings.host.place })
  return {
    host,
    stop: async () => {
      await stop.stop()
      disposables.dispose()
    }
  }
}
