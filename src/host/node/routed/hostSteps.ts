/** Wires up step processing: accepts submissions and returns results for trainers, and runs steps while the host holds the duty. */

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
import type { HostContext } from './hostContext.ts'
import { ordersTargets } from './hostFleet.ts'
import type { OtherHosts } from './otherHosts.ts'
import { STEPS_DUTY } from './otherHosts.ts'
import type { StoreAccess } from './storeAccess.ts'

export interface HostStepsDependencies {
  readonly others: OtherHosts
  readonly storeAccess: StoreAccess
  readonly topics: FollowedTopics
  readonly client: HttpTargetClient
  readonly guards: CallGuards
  readonly calls: RouteCalls
}

export interface HostSteps {
  readonly duty: DutyLeaseManager
  readonly home: StepScheduler
  readonly submissionApi: StepRequestHandler
  /** Returns the number of records that the store has not confirmed. */
  readonly backlog: () => number
}

export function createHostSteps (context: HostContext, { others, storeAccess, topics, client, guards, calls }: HostStepsDependencies): HostSteps {
  const { settings: { store, steps, mechanisms }, machine, services, disposables } = context
  const { clock, metrics, stateLog } = services
  const { topic, operator, stepLog } = topics
  const routes = (): typeof operator.routes => operator.routes
  const callCharacters = store.call_bytes / 2
  const contentsLog = storeAccess.keyedLog(store.contents_topic)
  const contentsAppender = new GroupAppender({ ...services, log: contentsLog }, { maxCallCharacters: callCharacters })
  const contents = createContents(context, others, { log: contentsLog, appender: contentsAppender })
  disposables.add(topic.onChange((change) => { if (change.type === 'forgotten') contents.evict(change.step) }))
  const appender = new GroupAppender({ ...services, log: stepLog }, { maxCallCharacters: callCharacters })
  const duty = createDuty(context, others, topics)
  // The holder decides by the present entries of the targets, not by those of the last interval.
  disposables.add(duty.onClaim(() => { topics.targetTopic.endPause() }))
  disposables.add(logResults({ topic, duty, clock, metrics, stateLog, routes, phasesOf: (step, item) => home.phasesOf(step, item) }))
  const board = new EngineRegistry(topics.targets, clock, routes)
  const scorer = disposables.add(new SampleScorer({ calls, protocol: targetProtocol, clock, stateLog, routes }))
  const executionServices = { ...services, client, ...guards, protocol: targetProtocol, duty, board, mechanisms }
  const home: StepScheduler = disposables.add(new StepScheduler({
    ...executionServices,
    topic,
    appender,
    contents,
    scorer,
    progress: new ProgressStore({ ...services, history: storeAccess.progress }, { saveIntervalMs: steps.progress, maxRecordBytes: store.record_bytes, enabled: mechanisms.progress }),
    routes,
    version: (model) => operator.version(model),
    isRented: (service) => ordersTargets(context.settings) && operator.routes?.service(service)?.scaling !== undefined,
    assignedModel: (engine) => orders.assignedModel(engine)
  }, { firstEventTimeoutMs: steps.first_event, silenceTimeoutMs: steps.silence }))
  const orders: WeightLoadController = disposables.add(new WeightLoadController({
    ...executionServices,
    machine,
    demands: () => home.demands(),
    onEngineAvailable: () => { home.schedule() }
  }))
  disposables.add(new CrashRecordCleaner({ held: guards.held, appender, duty, clock, stateLog }))
  disposables.add(new StepCleaner({ topic, appender, contents, duty, clock, stateLog }, steps.status))
  const submissionApi = new StepRequestHandler({ topic, appender, contents, clock, metrics, stateLog, routes }, { acceptTimeoutMs: steps.accept, endTimeoutMs: steps.end, maxWaitMs: store.long_poll, maxSubmissionCharacters: callCharacters })
  return { duty, home, submissionApi, backlog: () => appender.backlog + contentsAppender.backlog }
}

function createContents ({ settings, ownAddress, services }: HostContext, { peers, handlers, membership }: OtherHosts, storage: Pick<ConstructorParameters<typeof StepContents>[0], 'log' | 'appender'>): StepContents {
  const placeOf = (address: string): string | undefined => membership.members().find((member) => member.address === address)?.place
  const holders = new PeerContentReader({ peers, metrics: services.metrics, failureDomainOf: placeOf }, { address: ownAddress, place: settings.host.place })
  const contents = new StepContents({ ...services, ...storage, peerContent: holders })
  registerContentHandlers(handlers, contents)
  return contents
}

function createDuty ({ settings, host, machine, services, disposables }: HostContext, { membership, standing }: OtherHosts, { topic, stepLog }: FollowedTopics): DutyLeaseManager {
  const { renew, lease, rest, doubt } = settings.duty
  return disposables.add(new DutyLeaseManager({
    ...services,
    source: topic,
    log: stepLog,
    doubt: (holder) => { membership.probeNow(asHostId(holder)) },
    isLost: (holder) => hasFailedOrRestarted(membership.members(), holder),
    candidacy: () => standing.current
  }, { duty: STEPS_DUTY, machine, holder: host, renewIntervalMs: renew, leaseDurationMs: lease, takeoverDelayMs: rest, probeAfterMs: doubt }))
}

/** Whether a host is suspect or dead, or its machine runs another incarnation of it. */
function hasFailedOrRestarted (members: readonly Member[], holder: string): boolean {
  const machine = machineOf(holder)
  return members.some(({ host, status }) => host === holder
    ? status === 'suspect' || status === 'dead'
    : status === 'alive' && machineOf(host) === machine)
}
