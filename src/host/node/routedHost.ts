/**
 * The composition of a host that serves routes and steps over a store of keyed topics: follows what
 * operators, trainers and targets write there, answers callers, and runs the steps while it holds
 * their duty.
 */

import { targetProtocol } from '../../../platform/index.ts'
import { RouteCalls } from '../../actors/common/routes/routeCalls.ts'
import { StreamCalls } from '../../actors/common/routes/streamCalls.ts'
import type { TargetTable } from '../../actors/common/routes/targetTable.ts'
import { Connections } from '../../adapters/node/connections.ts'
import { HttpTargetClient } from '../../adapters/node/httpTargetClient.ts'
import type { Result } from '../../base/common/resultCode.ts'
import { ForwardRoutes } from '../../entry/node/front/forwardRoutes.ts'
import { MetricsServer } from '../../entry/node/front/metricsServer.ts'
import { pause } from '../../ports/common/clock.ts'
import type { RoutedSettings } from '../../settings/common/routedSettings.ts'
import type { HostSettings } from '../../settings/node/readSettings.ts'
import { countItems, setGauges } from './hostGauges.ts'
import { createCallGuards } from './routed/callGuards.ts'
import { createFollowedTopics } from './routed/followedTopics.ts'
import type { HostBase } from './routed/hostBase.ts'
import { createBase } from './routed/hostBase.ts'
import type { HostServers } from './routed/hostServers.ts'
import { createServers } from './routed/hostServers.ts'
import type { HostSteps } from './routed/hostSteps.ts'
import { createSteps } from './routed/hostSteps.ts'
import type { OtherHosts } from './routed/otherHosts.ts'
import { createOtherHosts } from './routed/otherHosts.ts'
import type { HostUsage } from './routed/hostUsage.ts'
import { createUsage } from './routed/hostUsage.ts'
import { createStoreLinks } from './routed/storeLinks.ts'
import { SettingsReloader } from './settingsReloader.ts'

export interface RoutedHost {
  /** Reads the settings again. */
  look (): void
  /** Stops gracefully. */
  stop (): Promise<void>
}

/** Silence of a target after which a connection to it is ended, in milliseconds: the callers' own limits are shorter. */
const TARGET_SILENCE_MS = 30_000
/** Time between two looks at what a stop waits for, in milliseconds. */
const LOOK_MS = 50
/** Longest wait at the end for a reader of the log lines, in milliseconds. */
const OUTPUT_DRAIN_MS = 200
/** Time between two looks at the settings file, which may change without a signal, in milliseconds. */
const SETTINGS_LOOK_MS = 5000
/** Most that a host which takes callers tells of its load: 1 says that it takes none. */
const MOST_LOAD = 0.99

/** Starts a host; resolves once it listens. */
export async function startRoutedHost (settings: RoutedSettings, readAgain: () => Result<HostSettings>): Promise<RoutedHost> {
  const base = await createBase(settings, () => steps.home.activeItemCount)
  const { services, disposables } = base
  const { clock, metrics, stateLog } = services
  const others = createOtherHosts(base)
  const links = createStoreLinks(base, others)
  const topics = createFollowedTopics(base, others, links)
  const client = createTargetClient(base, topics.targets)
  const guards = createCallGuards(base, topics, client)
  const usage = createUsage(base, others, links)
  const callServices = { ...services, usage: usage?.meter, targets: topics.targets, client, ...guards, protocol: targetProtocol, place: settings.host.place, mechanisms: settings.mechanisms }
  const calls = new RouteCalls(callServices)
  const steps: HostSteps = createSteps(base, { others, links, topics, client, guards, calls })

  const reporter = usage?.reportWith(steps.duty)
  let leaving = false
  const forward = new ForwardRoutes({ calls, streams: new StreamCalls(callServices, settings.limits.caller_pause), protocol: targetProtocol })
  const servers = createServers(base, { others, topics, steps, forward, isLeaving: () => leaving })
  const load = (): number => servers.isReady() ? Math.min(MOST_LOAD, servers.front.requests / settings.limits.connections) : 1
  others.membership.setProbePayload({ offset: () => topics.topic.position, load, reachesStore: () => links.reach.isReachable, pressures: () => ({}) })

  if (settings.metrics?.listen !== undefined) {
    const metricsServer = disposables.add(new MetricsServer(metrics, () => {
      setGauges(metrics, { duty: steps.duty, requests: servers.front.requests, items: countItems(steps.home.items), backlog: steps.backlog(), held: guards.held.counts.held, usageReportedThrough: reporter?.reportedThrough, targets: topics.targets.counts })
    }))
    await metricsServer.listen(settings.metrics.listen)
  }
  await servers.listen()
  topics.start()
  const { callers, directory, peers } = settings.listen
  stateLog.changed('listening', { callers, directory, peers })

  const reloader = new SettingsReloader(settings, readAgain, (changed) => { others.membership.setListedAddresses(changed.membership.seeds) }, stateLog)
  disposables.add(clock.every(SETTINGS_LOOK_MS, () => { reloader.look() }))
  return {
    look: () => { reloader.look() },
    stop: async () => {
      leaving = true
      await stop(base, { others, steps, servers, usage })
    }
  }
}

function createTargetClient ({ settings: { limits }, services: { metrics }, disposables }: HostBase, targets: TargetTable): HttpTargetClient {
  const answers = { maximumAnswerBytes: limits.answer_bytes, connectTimeoutMs: limits.connect_timeout }
  const connections = disposables.add(new Connections({ ...answers, connections: limits.target_connections, silenceMs: TARGET_SILENCE_MS }))
  const client = new HttpTargetClient(connections, answers)
  // Kept connections lead to the former life, or to whoever has its address now.
  disposables.add(targets.onRestart(({ former, present }) => {
    metrics.count('targets.restarted')
    for (const address of new Set([former.address, present.address])) client.distrust(address)
  }))
  return client
}

interface StoppingParts {
  readonly others: OtherHosts
  readonly steps: HostSteps
  readonly servers: HostServers
  readonly usage: HostUsage | undefined
}

/** Hands the steps over and goes on serving those who still know this host; ends what is left after a time. */
async function stop ({ settings: { limits }, services, output, disposables }: HostBase, { others: { membership }, steps: { duty, home, backlog: stepBacklog }, servers: { front }, usage }: StoppingParts): Promise<void> {
  const { clock, stateLog } = services
  const backlog = (): number => stepBacklog() + (usage?.meter.backlog ?? 0)
  const began = clock.monotonic()
  stateLog.changed('stop begins', { requests: front.requests, items: home.activeItemCount, records: backlog() })
  membership.leave()
  await Promise.all([pause(clock, limits.stop_serving), home.handOver().then(async () => { await duty.release() })])
  front.closeIdle()
  usage?.meter.flushWithoutPauses()
  while ((front.requests > 0 || backlog() > 0) && clock.monotonic() - began < limits.stop_serving + limits.stop_timeout) await pause(clock, LOOK_MS)
  stateLog.changed('stop ends', { requests: front.requests, records: backlog(), tookMs: Math.round(clock.monotonic() - began) })
  disposables.dispose()
  await output.drained(OUTPUT_DRAIN_MS)
}
