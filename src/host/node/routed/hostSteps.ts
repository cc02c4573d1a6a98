/** What a host does for steps: takes and gives them for trainers, and runs them while it holds their duty. */

import { DutyLeaseManager } from '../../../actors/common/duties/dutyLeaseManager.ts'
import type { RouteCalls } from '../../../actors/common/routes/routeCalls.ts'
import { CrashRecordCleaner } from '../../../actors/common/routes/crashRecordCleaner.ts'
import { PeerContentReader, registerContentHandlers } from '../../../actors/common/steps/peerContentReader.ts'
import { EngineRegistry } from '../../../actors/common/steps/engineRegistry.ts'
import { ProgressStore } from '../../../actors/common/steps/progressStore.ts'
import { logResults } from '../../../actors/common/steps/resultLogging.ts'
import { SampleScorer } from '../../../actors/common/steps/sampleScorer.ts'
import { StepCleaner } from '../../../actors/common/steps/stepCleaner.ts'
import { StepContents } from '../../../actors/common/steps/stepContents.ts'
import { StepRequestHandler } from '../../../actors/common/steps/stepRequestHandler.ts'
import { StepScheduler } from '../../../actors/common/steps/stepScheduler.ts'
import { GroupAppender } from '../../../actors/common/store/groupAppender.ts'
import { WeightLoadController } from '../../../actors/common/weights/weightLoadController.ts'
import type { HttpTargetClient } from '../../../adapters/node/httpTargetClient.ts'
import { asHostId } from '../../../base/common/ids.ts'
import { machineOf } from '../../../core/common/duties/dutyOrder.ts'
import type { Member } from '../../../core/common/membership/memberTable.ts'
import { targetProtocol } from '../../../../platform/index.ts'
import type { CallGuards } from './callGuards.ts'
import type { FollowedTopics } from './followedTopics.ts'
import type { HostBase } from './hostBase.ts'
import type { OtherHosts } from './otherHosts.ts'
import { STEPS_DUTY } from './otherHosts.ts'
import type { StoreLinks } from './storeLinks.ts'

export interface HostStepsParts {
  readonly others: OtherHosts
  readonly links: StoreLinks
  readonly topics: FollowedTopics
  readonly client: HttpTargetClient
  readonly guards: CallGuards
  readonly calls: RouteCalls
}

export interface HostSteps {
  readonly duty: DutyLeaseManager
  readonly home: StepScheduler
  readonly desk: StepRequestHandler
  /** Records that the store has not confirmed. */
  readonly backlog: () => number
}

export function createSteps (base: HostBase, { others, links, topics, client, guards, calls }: HostStepsParts): HostSteps {
  const { settings: { store, steps, mechanisms }, machine, services, disposables } = base
  const { clock, metrics, stateLog } = services
  const { topic, operator, stepLog } = topics
  const routes = (): typeof operator.routes => operator.routes
  const callCharacters = store.call_bytes / 2
  const contentsLog = links.keyedLog(store.contents_topic)
  const contentsAppender = new GroupAppender({ ...services, log: contentsLog }, { maxCallCharacters: callCharacters })
  const contents = createContents(base, others, { log: contentsLog, appender: contentsAppender })
  disposables.add(topic.onChange((change) => { if (change.type === 'forgotten') contents.evict(change.step) }))
  const appender = new GroupAppender({ ...services, log: stepLog }, { maxCallCharacters: callCharacters })
  const duty = createDuty(base, others, topics)
  disposables.add(logResults({ topic, duty, clock, metrics, stateLog, routes, phasesOf: (step, item) => home.phasesOf(step, item) }))
  const board = new EngineRegistry(topics.targets, clock, routes)
  const scorer = disposables.add(new SampleScorer({ calls, protocol: targetProtocol, clock, stateLog, routes }))
  const running = { ...services, client, ...guards, protocol: targetProtocol, duty, board, mechanisms }
  const home: StepScheduler = disposables.add(new StepScheduler({
    ...running,
    topic,
    appender,
    contents,
    scorer,
    progress: new ProgressStore({ ...services, history: links.progress }, { saveIntervalMs: steps.progress, maxRecordBytes: store.record_bytes, enabled: mechanisms.progress }),
    routes,
    version: (model) => operator.version(model),
    assignedModel: (engine) => orders.assignedModel(engine)
  }, { firstEventTimeoutMs: steps.first_event, silenceTimeoutMs: steps.silence }))
  const orders: WeightLoadController = disposables.add(new WeightLoadController({
    ...running,
    machine,
    demands: () => home.demands(),
    onEngineAvailable: () => { home.schedule() }
  }))
  disposables.add(new CrashRecordCleaner({ held: guards.held, appender, duty, clock, stateLog }))
  disposables.add(new StepCleaner({ topic, appender, contents, duty, clock, stateLog }, steps.status))
  const desk = new StepRequestHandler({ topic, appender, contents, clock, metrics, stateLog }, { acceptTimeoutMs: steps.accept, endTimeoutMs: steps.end, maxWaitMs: store.long_poll, maxSubmissionCharacters: callCharacters })
  return { duty, home, desk, backlog: () => appender.backlog + contentsAppender.backlog }
}

function createContents ({ settings, ownAddress, services }: HostBase, { peers, handlers, membership }: OtherHosts, kept: Pick<ConstructorParameters<typeof StepContents>[0], 'log' | 'appender'>): StepContents {
  const placeOf = (address: string): string | undefined => membership.members().find((member) => member.address === address)?.place
  const holders = new PeerContentReader({ peers, metrics: services.metrics, failureDomainOf: placeOf }, { address: ownAddress, place: settings.host.place })
  const contents = new StepContents({ ...services, ...kept, peerContent: holders })
  registerContentHandlers(handlers, contents)
  return contents
}

function createDuty ({ settings, host, machine, services, disposables }: HostBase, { membership, standing }: OtherHosts, { topic, stepLog }: FollowedTopics): DutyLeaseManager {
  const { renew, lease, rest, doubt } = settings.duty
  return disposables.add(new DutyLeaseManager({
    ...services,
    source: topic,
    log: stepLog,
    doubt: (holder) => { membership.probeNow(asHostId(holder)) },
    isLost: (holder) => isLost(membership.members(), holder),
    candidacy: () => standing.current
  }, { duty: STEPS_DUTY, machine, holder: host, renewIntervalMs: renew, leaseDurationMs: lease, takeoverDelayMs: rest, probeAfterMs: doubt }))
}

/** Whether a host does not answer, or its machine runs a later life of it. */
function isLost (members: readonly Member[], holder: string): boolean {
  const machine = machineOf(holder)
  return members.some(({ host, status }) => host === holder
    ? status === 'suspect' || status === 'dead'
    : status === 'alive' && machineOf(host) === machine)
}
