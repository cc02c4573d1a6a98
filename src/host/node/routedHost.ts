/**
 * The composition of a host that serves routes and steps over a store of keyed topics: follows what
 * operators, trainers and targets write there, answers callers, and runs the steps while it holds
 * their duty.
 */

import { start } from 'nact'
import { randomUUID } from 'node:crypto'
import { frontProtocol, historyProtocol, registryProtocol, storeProtocol, targetProtocol } from '../../../platform/index.ts'
import { DutyKeeper } from '../../actors/common/duties/dutyKeeper.ts'
import { DutyStanding } from '../../actors/common/duties/dutyStanding.ts'
import { Membership } from '../../actors/common/membership/membership.ts'
import { OperatorTopic } from '../../actors/common/routes/operatorTopic.ts'
import { RouteCalls } from '../../actors/common/routes/routeCalls.ts'
import { StreamCalls } from '../../actors/common/routes/streamCalls.ts'
import { TargetTable } from '../../actors/common/routes/targetTable.ts'
import { TargetTopic } from '../../actors/common/routes/targetTopic.ts'
import { ContentHolders, serveContents } from '../../actors/common/steps/contentHolders.ts'
import { EngineBoard } from '../../actors/common/steps/engineBoard.ts'
import { ProgressKeeper } from '../../actors/common/steps/progressKeeper.ts'
import { noteResults } from '../../actors/common/steps/resultNotes.ts'
import { SampleScorer } from '../../actors/common/steps/sampleScorer.ts'
import { StepCleaner } from '../../actors/common/steps/stepCleaner.ts'
import { StepContents } from '../../actors/common/steps/stepContents.ts'
import { StepDesk } from '../../actors/common/steps/stepDesk.ts'
import { StepHome } from '../../actors/common/steps/stepHome.ts'
import { AppendNotes } from '../../actors/common/store/appendNotes.ts'
import { GroupAppender } from '../../actors/common/store/groupAppender.ts'
import { OutageNotes } from '../../actors/common/store/outageNotes.ts'
import { RelayedKeyedLog, serveRelays } from '../../actors/common/store/relayedKeyedLog.ts'
import { LAST_KEY } from '../../actors/common/store/keyedTail.ts'
import { StoreReach } from '../../actors/common/store/storeReach.ts'
import { StepTopic } from '../../actors/common/store/stepTopic.ts'
import { EngineOrders } from '../../actors/common/weights/engineOrders.ts'
import { Connections } from '../../adapters/node/connections.ts'
import { HistoryClient } from '../../adapters/node/historyClient.ts'
import { HttpTargetClient } from '../../adapters/node/httpTargetClient.ts'
import { JsonRpcHandlers, JsonRpcPeers } from '../../adapters/node/jsonRpcPeers.ts'
import { KeyedLogClient } from '../../adapters/node/keyedLogClient.ts'
import { NodeChance, NodeClock } from '../../adapters/node/nodeClock.ts'
import { ScrapedMetrics } from '../../adapters/node/scrapedMetrics.ts'
import { StandardOutput } from '../../adapters/node/standardOutput.ts'
import { StatsdMetrics } from '../../adapters/node/statsdMetrics.ts'
import { StructuredLog } from '../../adapters/node/structuredLog.ts'
import { StoreCaller } from '../../adapters/node/storeCaller.ts'
import { createHash } from '../../adapters/node/xxHash.ts'
import { asHostId, asPlace } from '../../base/common/ids.ts'
import { DisposableStore } from '../../base/common/lifecycle.ts'
import { Identities } from '../../entry/common/identity.ts'
import { EntryServer } from '../../entry/node/entryServer.ts'
import { DirectoryServer } from '../../entry/node/front/directoryServer.ts'
import { ForwardRoutes } from '../../entry/node/front/forwardRoutes.ts'
import { FrontServer } from '../../entry/node/front/frontServer.ts'
import { MetricsServer } from '../../entry/node/front/metricsServer.ts'
import { StepRoutes } from '../../entry/node/front/stepRoutes.ts'
import { PeerRoutes } from '../../entry/node/routes/peerRoutes.ts'
import { Router } from '../../entry/node/router.ts'
import { isCandidate, machineOf } from '../../core/common/duties/dutyOrder.ts'
import { leftOut } from '../../core/common/mechanisms.ts'
import { followPauseMs } from '../../core/common/steps/followPause.ts'
import type { Member } from '../../core/common/membership/memberTable.ts'
import type { KeyedLog } from '../../ports/common/keyedLog.ts'
import type { Result } from '../../base/common/resultCode.ts'
import type { RoutedSettings } from '../../settings/common/routedSettings.ts'
import type { HostSettings } from '../../settings/node/readSettings.ts'
import { countItems, setGauges } from './hostGauges.ts'
import { SettingsReloader } from './settingsReloader.ts'

export interface RoutedHost {
  /** Reads the settings again. */
  look (): void
  /** Stops gracefully. */
  stop (): Promise<void>
}

const PEER_CONNECTIONS = 16
const PEER_SILENCE_MS = 5000
const PEER_REQUESTS = 256
/** Connections to the store: three long polls and some appends at once. */
const STORE_CONNECTIONS = 16
/** Silence of a target after which undici ends a connection: the callers' own limits are shorter. */
const TARGET_SILENCE_MS = 30_000
const STEPS_DUTY = 'steps'
const LOOK_MS = 50
/** Longest wait for the answer to a probe of the store, in milliseconds: longer than a slow store takes, shorter than an outage. */
const STORE_PROBE_MS = 500
/** Longest wait at the end for a reader of the log lines, in milliseconds. */
const OUTPUT_DRAIN_MS = 200
/** Time between two looks at the settings file, which may change without a signal, in milliseconds. */
const SETTINGS_LOOK_MS = 5000

/** Starts a host; resolves once it listens. */
export async function startRoutedHost (settings: RoutedSettings, readAgain: () => Result<HostSettings>): Promise<RoutedHost> {
  const disposables = new DisposableStore()
  const system = start()
  const clock = new NodeClock()
  const chance = new NodeChance()
  const hash = await createHash()
  const { limits, store, listen, mechanisms } = settings
  const machine = settings.host.name
  const processor = settings.host.processor_share * settings.host.processor_speed
  const place = settings.host.place
  const host = asHostId(`${machine}/${randomUUID().slice(0, 8)}`)
  const metrics = new ScrapedMetrics(machine, disposables.add(new StatsdMetrics(settings.metrics?.collector, host)))
  const output = new StandardOutput()
  const stateLog: StructuredLog = new StructuredLog(host, settings.host.log_level, output, () => home.underway)
  const base = { system, clock, chance, hash, metrics, stateLog }
  for (const mechanism of leftOut(mechanisms)) stateLog.changed('mechanism left out', { mechanism })
  stateLog.changed('start', { place, callers: listen.callers, store: store.address })

  const answers = { maximumAnswerBytes: limits.answer_bytes, connectTimeoutMs: limits.connect_timeout }
  const storeConnections = disposables.add(new Connections({ ...answers, connections: STORE_CONNECTIONS, silenceMs: store.timeout + store.long_poll }))
  const targetConnections = disposables.add(new Connections({ ...answers, connections: limits.target_connections, silenceMs: TARGET_SILENCE_MS }))
  const peerConnections = disposables.add(new Connections({ ...answers, connections: PEER_CONNECTIONS, silenceMs: PEER_SILENCE_MS }))
  const peers = new JsonRpcPeers(peerConnections, peerConnections, settings.peers.key, metrics)
  const handlers = new JsonRpcHandlers()

  const { membership: known } = settings
  const ownAddress = `http://${listen.peers}`
  const membership = disposables.add(new Membership({ ...base, peers, handlers }, {
    seeds: known.seeds.filter((address) => address !== ownAddress),
    probePeriodMs: known.probe_period,
    probeTimeoutMs: known.probe_timeout,
    indirect: known.indirect,
    suspicionMs: known.suspicion,
    forgetMs: known.forget,
    fullExchangeMs: known.full_exchange
  }, { host, address: ownAddress, place: asPlace(place), processor }))
  const standing = new DutyStanding({ membership, hash, clock }, { duty: STEPS_DUTY, host, processor: mechanisms.small_host_delay ? processor : undefined })
  /** Pause of a topic that this host only follows. */
  const followPause = (usualMs: number): number => followPauseMs(standing.now.hosts, usualMs)

  const probeCaller = new StoreCaller(storeConnections, metrics, store.address, STORE_PROBE_MS)
  const probeLog = new KeyedLogClient(probeCaller, storeProtocol, store.topic)
  const reach = disposables.add(new StoreReach(clock, async () => (await probeLog.newest(LAST_KEY)).ok))
  const storeCaller = new StoreCaller(storeConnections, metrics, store.address, store.timeout)
  const notes = new AppendNotes(base)
  const notedPeers = notes.ofPeers(peers)
  const direct = new Map<string, KeyedLog>()
  const keyedLog = (topic: string): KeyedLog => {
    const client = notes.ofLog(topic, new KeyedLogClient(storeCaller, storeProtocol, topic))
    direct.set(topic, client)
    return new RelayedKeyedLog({ peers: notedPeers, helpers: () => mechanisms.relays ? membership.storeReacherAddresses() : [], reach, metrics }, client, topic)
  }
  const followed = { ...base, stateLog: new OutageNotes(stateLog), onRegained: reach.onRegained }
  const tail = (name: string, pauseMs: () => number) => ({ name, longPollMs: store.long_poll, pauseMs })
  const operator = disposables.add(new OperatorTopic({ log: keyedLog(registryProtocol.operatorTopic), ...followed }, tail(registryProtocol.operatorTopic, () => 0), registryProtocol))
  const targets = new TargetTable(base)
  const targetTopic = disposables.add(new TargetTopic({ log: keyedLog(registryProtocol.targetTopic), ...followed }, tail(registryProtocol.targetTopic, () => followPause(store.registry_pause)), registryProtocol, targets))
  const stepLog = keyedLog(store.topic)
  const topic = disposables.add(new StepTopic({ log: stepLog, ...followed }, tail(store.topic, () => isCandidate(standing.now) ? store.read_pause : followPause(store.read_pause))))
  const contentsLog = keyedLog(store.contents_topic)
  const contentsAppender = new GroupAppender({ ...base, log: contentsLog }, { callCharacters: store.call_bytes / 2 })
  const placeOf = (address: string): string | undefined => membership.members().find((member) => member.address === address)?.place
  const holders = new ContentHolders({ peers, metrics, placeOf }, { address: ownAddress, place })
  const contents = new StepContents({ log: contentsLog, appender: contentsAppender, holders, ...base })
  serveContents(handlers, contents)
  disposables.add(topic.onChange((change) => { if (change.type === 'forgotten') contents.forget(change.step) }))
  serveRelays(handlers, direct)

  const client = new HttpTargetClient(targetConnections, { connectTimeoutMs: limits.connect_timeout, maximumAnswerBytes: limits.answer_bytes })
  // Kept connections lead to the former life, or to whoever has its address now.
  disposables.add(targets.onRestart(({ former, present }) => {
    metrics.count('targets.restarted')
    for (const address of new Set([former.address, present.address])) client.distrust(address)
  }))
  const callServices = { ...base, targets, client, protocol: targetProtocol, place, mechanisms }
  const calls = new RouteCalls(callServices)
  const appender = new GroupAppender({ ...base, log: stepLog }, { callCharacters: store.call_bytes / 2 })
  const duty = disposables.add(new DutyKeeper({
    source: topic,
    log: stepLog,
    clock,
    chance,
    stateLog,
    doubt: (holder) => { membership.doubt(asHostId(holder)) },
    isLost: (holder) => isLost(membership.members(), holder),
    standing: () => standing.now
  }, {
    duty: STEPS_DUTY,
    machine,
    holder: host,
    renewMs: settings.duty.renew,
    leaseMs: settings.duty.lease,
    restMs: settings.duty.rest,
    doubtMs: settings.duty.doubt
  }))
  disposables.add(noteResults({ topic, duty, clock, metrics, stateLog, routes: () => operator.routes, phasesOf: (step, item) => home.phasesOf(step, item) }))
  const board = new EngineBoard(targets, clock, () => operator.routes)
  const scorer = disposables.add(new SampleScorer({ calls, protocol: targetProtocol, clock, stateLog, routes: () => operator.routes }))
  const home: StepHome = disposables.add(new StepHome({
    ...base,
    client,
    protocol: targetProtocol,
    topic,
    duty,
    board,
    appender,
    contents,
    scorer,
    progress: new ProgressKeeper({ ...base, history: new HistoryClient(storeCaller, historyProtocol, store.progress_topic) }, { periodMs: settings.steps.progress, recordBytes: store.record_bytes, inUse: mechanisms.progress }),
    routes: () => operator.routes,
    version: (model) => operator.version(model),
    follows: (engine) => orders.follows(engine),
    mechanisms
  }, { firstEventMs: settings.steps.first_event, silenceMs: settings.steps.silence }))
  const orders: EngineOrders = disposables.add(new EngineOrders({
    ...base,
    board,
    duty,
    client,
    protocol: targetProtocol,
    machine,
    demands: () => home.demands(),
    onReady: () => { home.schedule() },
    mechanisms
  }))
  disposables.add(new StepCleaner({ topic, appender, contents, duty, clock, stateLog }, settings.steps.status))
  const desk = new StepDesk({ topic, appender, contents, clock, metrics, stateLog }, {
    acceptMs: settings.steps.accept,
    endMs: settings.steps.end,
    longestWaitMs: store.long_poll,
    submissionCharacters: store.call_bytes / 2
  })

  const backlog = (): number => appender.backlog + contentsAppender.backlog

  let stopping = false
  const isReady = (): boolean => !stopping && operator.routes !== undefined && targetTopic.loaded && topic.loaded
  const front = disposables.add(new FrontServer({
    protocol: frontProtocol,
    operator,
    whenLoaded: async (need, limitMs) => { await Promise.all((need === 'routes' ? [operator, targetTopic] : [operator, topic]).map(async (followed) => await followed.whenLoaded(limitMs))) },
    forward: new ForwardRoutes({ calls, streams: new StreamCalls(callServices), protocol: targetProtocol }),
    steps: new StepRoutes(desk, frontProtocol),
    metrics,
    stateLog
  }, { listen: listen.callers, maximumConnections: limits.connections, headBytes: limits.head_bytes, heldBytes: limits.held_bytes, isLeaving: () => stopping }))

  /** All hosts of a deployment use the same ports, so a member's callers' address is its own IP with this host's port. */
  const callersAddress = (peerAddress: string): string => `${new URL(peerAddress).hostname}:${new URL(`http://${listen.callers}`).port}`
  const addresses = (): string[] => membership.available()
    .filter((member) => member.host === host ? isReady() : (membership.loadOf(member.host) ?? 1) < 1)
    .map((member) => callersAddress(member.address))
  const directory = disposables.add(new DirectoryServer({ protocol: frontProtocol, isReady, addresses }, limits.valid_for))
  const readiness = disposables.add(new DirectoryServer({ protocol: frontProtocol, isReady, addresses }, limits.valid_for))

  const router = new Router()
  new PeerRoutes(handlers).register(router)
  const peerServer = disposables.add(new EntryServer({ router, identities: new Identities({ peers: settings.peers, callers: [], operators: [] }), metrics, stateLog }, {
    listen: listen.peers,
    maximumConnections: limits.connections,
    maximumRequests: PEER_REQUESTS,
    bodyTimeoutMs: PEER_SILENCE_MS,
    maximumBodyBytes: store.call_bytes,
    chance,
    alternatives: () => [],
    leaving: () => stopping
  }))
  membership.tellWithProbes({ offset: () => topic.position, load: () => isReady() ? Math.min(0.99, front.requests / limits.connections) : 1, reachesStore: () => reach.reached, pressures: () => ({}) })

  if (settings.metrics?.listen !== undefined) {
    const metricsServer = disposables.add(new MetricsServer(metrics, () => {
      setGauges(metrics, { duty, requests: front.requests, items: countItems(home.items), backlog: backlog(), targets: targets.counts })
    }))
    await metricsServer.listen(settings.metrics.listen)
  }
  await Promise.all([peerServer.listen(), front.listen(), directory.listen(listen.directory), readiness.listen(listen.readiness)])
  for (const tailed of [operator, targetTopic, topic]) tailed.start()
  stateLog.changed('listening', { callers: listen.callers, directory: listen.directory, peers: listen.peers })

  const pause = async (milliseconds: number): Promise<void> => { await new Promise<void>((resolve) => { clock.after(milliseconds, resolve) }) }
  const stop = async (): Promise<void> => {
    const began = clock.monotonic()
    stopping = true
    stateLog.changed('stop begins', { requests: front.requests, items: home.underway, records: backlog() })
    membership.leave()
    await Promise.all([pause(limits.stop_serving), home.handOver().then(async () => { await duty.release() })])
    front.closeIdle()
    while ((front.requests > 0 || backlog() > 0) && clock.monotonic() - began < limits.stop_serving + limits.stop_timeout) await pause(LOOK_MS)
    stateLog.changed('stop ends', { requests: front.requests, records: backlog(), tookMs: Math.round(clock.monotonic() - began) })
    disposables.dispose()
    await output.drained(OUTPUT_DRAIN_MS)
  }

  const reloader = new SettingsReloader(settings, readAgain, (changed) => { membership.setListed(changed.membership.seeds) }, stateLog)
  disposables.add(clock.every(SETTINGS_LOOK_MS, () => { reloader.look() }))
  return { stop, look: () => { reloader.look() } }
}

/** Whether a host does not answer, or its machine runs a later life of it. */
function isLost (members: readonly Member[], holder: string): boolean {
  const machine = machineOf(holder)
  return members.some(({ host, status }) => host === holder
    ? status === 'suspect' || status === 'dead'
    : status === 'alive' && machineOf(host) === machine)
}
