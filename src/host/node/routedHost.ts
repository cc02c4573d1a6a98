/**
 * Composition root of a host that serves routes and steps from a store of keyed topics: follows what
 * operators, trainers and targets write to the store, answers callers, and runs the steps while it
 * holds their duty.
 */

import { targetProtocol } from '../../../platform/index.ts'
import { CallQueues } from '../../actors/common/calls/callQueues.ts'
import { RouteCalls } from '../../actors/common/routes/routeCalls.ts'
import { StreamCalls } from '../../actors/common/routes/streamCalls.ts'
import { TargetPlacement } from '../../actors/common/routes/targetPlacement.ts'
import type { TargetTable } from '../../actors/common/routes/targetTable.ts'
import { ConnectionPools } from '../../adapters/node/connectionPools.ts'
import { EventLoopLoad } from '../../adapters/node/eventLoopLoad.ts'
import { KeepAliveConnections } from '../../adapters/node/keepAliveConnections.ts'
import { HttpTargetClient } from '../../adapters/node/httpTargetClient.ts'
import type { Result } from '../../base/common/resultCode.ts'
import { ForwardRoutes } from '../../entry/node/front/forwardRoutes.ts'
import { MetricsServer } from '../../entry/node/front/metricsServer.ts'
import { pause } from '../../ports/common/clock.ts'
import type { RoutedSettings } from '../../settings/common/routedSettings.ts'
import { hasCallQueue } from '../../settings/common/routedSettings.ts'
import type { HostSettings } from '../../settings/node/readSettings.ts'
import { countItems, setGauges } from './hostGauges.ts'
import { createCallGuards } from './routed/callGuards.ts'
import type { FollowedTopics } from './routed/followedTopics.ts'
import { createFollowedTopics } from './routed/followedTopics.ts'
import type { HostContext } from './routed/hostContext.ts'
import { createHostContext } from './routed/hostContext.ts'
import { startHostFleet } from './routed/hostFleet.ts'
import type { HostServers } from './routed/hostServers.ts'
import { createHostServers } from './routed/hostServers.ts'
import type { HostSteps } from './routed/hostSteps.ts'
import { createHostSteps } from './routed/hostSteps.ts'
import type { OtherHosts } from './routed/otherHosts.ts'
import { createOtherHosts } from './routed/otherHosts.ts'
import type { HostUsage } from './routed/hostUsage.ts'
import { createHostUsage } from './routed/hostUsage.ts'
import { probeLoad } from './routed/probeLoad.ts'
import { queryServerLimits } from './routed/queryServerLimits.ts'
import { StopSchedule } from './routed/stopSchedule.ts'
import { createStoreAccess } from './routed/storeAccess.ts'
import { SettingsReloader } from './settingsReloader.ts'

export interface RoutedHost {
  /** Reads the settings again and applies them if they have changed. */
  reloadSettings (): void
  /** Stops gracefully. A second call waits for the first to complete. */
  stop (): Promise<void>
}

/** Closes connections to targets that send nothing for this long. The time limits that callers set are shorter. */
const TARGET_IDLE_TIMEOUT_MS = 30_000
const STOP_POLL_INTERVAL_MS = 50
/** Longest wait for the last answers to be sent before connections are closed. */
const LAST_ANSWERS_TIMEOUT_MS = 50
/** Longest wait before exit for buffered log lines to be written. */
const OUTPUT_DRAIN_TIMEOUT_MS = 200
/** The settings file is polled because it may change without a signal. */
const SETTINGS_POLL_INTERVAL_MS = 5000

/** Starts a host. Resolves once it is listening. */
export async function startRoutedHost (settings: RoutedSettings, rereadSettings: () => Result<HostSettings>): Promise<RoutedHost> {
  const context = await createHostContext(settings, () => steps.home.activeItemCount)
  const { services, disposables } = context
  const { clock, metrics, stateLog } = services
  const otherHosts = createOtherHosts(context)
  const storeAccess = createStoreAccess(context, otherHosts)
  const topics = createFollowedTopics(context, otherHosts, storeAccess)
  const client = createTargetClient(context, topics.targets)
  const guards = createCallGuards(context, topics, client)
  const usage = createHostUsage(context, otherHosts, storeAccess)
  const queues = createCallQueues(context, topics)
  const placement = new TargetPlacement({ hash: services.hash, client, machine: context.machine, liveHosts: () => otherHosts.standing.current.hosts })
  const callServices = { ...services, usage: usage?.meter, queues, targets: topics.targets, client, ...guards, placement, protocol: targetProtocol, place: settings.host.place, mechanisms: settings.mechanisms }
  const calls = new RouteCalls(callServices)
  const steps: HostSteps = createHostSteps(context, { others: otherHosts, storeAccess, topics, client, guards, calls })

  startHostFleet(context, otherHosts, topics, steps)
  const reporter = usage?.startReporting(steps.duty)
  const stopSchedule = new StopSchedule(clock, settings.limits)
  const forward = new ForwardRoutes({ calls, streams: new StreamCalls(callServices, settings.limits.caller_pause), protocol: targetProtocol, clock, remainingMs: () => stopSchedule.remainingMs })
  const servers = createHostServers(context, { others: otherHosts, topics, steps, forward, isStopping: () => stopSchedule.isStopping })
  const eventLoopLoad = new EventLoopLoad(clock)
  const load = (): number => probeLoad({
    isReady: servers.isReady,
    requests: () => servers.front.requests,
    maximumConnections: settings.limits.connections,
    isSpread: () => servers.callerAddresses.isSpread,
    processorLoad: () => eventLoopLoad.fraction()
  })
  otherHosts.membership.setProbePayload({ offset: () => topics.topic.position, load, reachesStore: () => storeAccess.reachability.isReachable, pressures: () => ({}) })

  if (settings.metrics?.listen !== undefined) {
    const metricsServer = disposables.add(new MetricsServer({ memory: context.clientMemory, clock, metrics, stateLog }, () => {
      setGauges(metrics, { duty: steps.duty, requests: servers.front.requests, items: countItems(steps.home.items), backlog: steps.backlog(), held: guards.held.counts.held, queued: queues?.waiting, usageReportedThrough: reporter?.reportedThrough, targets: topics.targets.counts })
    }, queryServerLimits(settings, context.connectionShares.metrics)))
    await metricsServer.listen(settings.metrics.listen)
  }
  await servers.listen()
  topics.start()
  const { callers, directory, peers } = settings.listen
  stateLog.changed('listening', { callers, directory, peers })

  const reloader = new SettingsReloader(settings, rereadSettings, (changed) => { otherHosts.membership.setListedAddresses(changed.membership.seeds) }, stateLog)
  disposables.add(clock.every(SETTINGS_POLL_INTERVAL_MS, () => { reloader.reloadIfChanged() }))
  let stopping: Promise<void> | undefined
  return {
    reloadSettings: () => { reloader.reloadIfChanged() },
    stop: async () => {
      stopping ??= stop(context, { schedule: stopSchedule, others: otherHosts, steps, servers, usage, queues })
      await stopping
    }
  }
}

function createTargetClient ({ settings: { limits }, services: { metrics }, disposables }: HostContext, targets: TargetTable): HttpTargetClient {
  const connecting = { connectTimeoutMs: limits.connect_timeout, onConnected: () => { metrics.count('connections.opened') } }
  const connectionSettings = { ...connecting, connections: limits.target_connections, inactivityTimeoutMs: TARGET_IDLE_TIMEOUT_MS }
  const connections = disposables.add(new ConnectionPools(connectionSettings))
  const client = new HttpTargetClient(connections, { ...connecting, maximumAnswerBytes: limits.answer_bytes }, disposables.add(new KeepAliveConnections(connectionSettings)))
  // Pooled connections lead to the former incarnation, or to another process that now has its address.
  disposables.add(targets.onRestart(({ former, present }) => {
    metrics.count('targets.restarted')
    for (const address of new Set([former.address, present.address])) client.retireConnections(address)
  }))
  return client
}

/** Creates the queues of calls that wait for targets; `undefined` if the settings do not provide for them. */
function createCallQueues ({ settings, services, disposables }: HostContext, { targets, operator }: FollowedTopics): CallQueues | undefined {
  return hasCallQueue(settings) ? disposables.add(new CallQueues({ ...services, targets, operator }, settings.queue)) : undefined
}

interface StopDependencies {
  readonly schedule: StopSchedule
  readonly others: OtherHosts
  readonly steps: HostSteps
  readonly servers: HostServers
  readonly usage: HostUsage | undefined
  readonly queues: CallQueues | undefined
}

/**
 * Hands over the steps and goes on serving callers that still know this host. Before the process would be ended by force, the
 * requests that are left get an answer that says so.
 */
async function stop ({ services, output, disposables }: HostContext, { schedule, others: { membership }, steps: { duty, home, backlog: stepBacklog }, servers: { front }, usage, queues }: StopDependencies): Promise<void> {
  const { clock, stateLog } = services
  const backlog = (): number => stepBacklog() + (usage?.meter.backlog ?? 0)
  schedule.begin()
  stateLog.changed('stop begins', { requests: front.requests, items: home.activeItemCount, records: backlog() })
  membership.leave()
  queues?.stop()
  const handover = { isPending: true }
  home.handOver().then(async () => { await duty.release() })
    .catch((error: unknown) => { stateLog.alarm('steps not handed over', { error: String(error) }) })
    .finally(() => { handover.isPending = false })
  await pause(clock, schedule.servingMs)
  front.closeIdle()
  usage?.meter.flushWithoutPauses()
  while ((front.requests > 0 || backlog() > 0 || handover.isPending) && schedule.remainingMs > 0) await pause(clock, Math.min(STOP_POLL_INTERVAL_MS, schedule.remainingMs))
  stateLog.changed('stop ends', { requests: front.requests, records: backlog(), tookMs: Math.round(schedule.elapsedMs) })
  if (front.requests > 0) {
    front.failOpenRequests()
    await pause(clock, LAST_ANSWERS_TIMEOUT_MS)
  }
  disposables.dispose()
  await output.drained(OUTPUT_DRAIN_TIMEOUT_MS)
}
