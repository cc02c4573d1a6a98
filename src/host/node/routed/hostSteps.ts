/** What a host does for steps: takes and gives them for trainers, and runs them while it holds their duty. */

import { DutyKeeper } from '../../../actors/common/duties/dutyKeeper.ts'
import type { RouteCalls } from '../../../actors/common/routes/routeCalls.ts'
import { EndsCleaner } from '../../../actors/common/routes/endsCleaner.ts'
import { ContentHolders, serveContents } from '../../../actors/common/steps/contentHolders.ts'
import { EngineBoard } from '../../../actors/common/steps/engineBoard.ts'
import { ProgressKeeper } from '../../../actors/common/steps/progressKeeper.ts'
import { noteResults } from '../../../actors/common/steps/resultNotes.ts'
import { SampleScorer } from '../../../actors/common/steps/sampleScorer.ts'
import { StepCleaner } from '../../../actors/common/steps/stepCleaner.ts'
import { StepContents } from '../../../actors/common/steps/stepContents.ts'
import { StepDesk } from '../../../actors/common/steps/stepDesk.ts'
import { StepHome } from '../../../actors/common/steps/stepHome.ts'
import { GroupAppender } from '../../../actors/common/store/groupAppender.ts'
import { EngineOrders } from '../../../actors/common/weights/engineOrders.ts'
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
  readonly duty: DutyKeeper
  readonly home: StepHome
  readonly desk: StepDesk
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
  disposables.add(topic.onChange((change) => { if (change.type === 'forgotten') contents.forget(change.step) }))
  const appender = new GroupAppender({ ...services, log: stepLog }, { maxCallCharacters: callCharacters })
  const duty = createDuty(base, others, topics)
  disposables.add(noteResults({ topic, duty, clock, metrics, stateLog, routes, phasesOf: (step, item) => home.phasesOf(step, item) }))
  const board = new EngineBoard(topics.targets, clock, routes)
  const scorer = disposables.add(new SampleScorer({ calls, protocol: targetProtocol, clock, stateLog, routes }))
  const running = { ...services, client, ...guards, protocol: targetProtocol, duty, board, mechanisms }
  const home: StepHome = disposables.add(new StepHome({
    ...running,
    topic,
    appender,
    contents,
    scorer,
    progress: new ProgressKeeper({ ...services, history: links.progress }, { periodMs: steps.progress, recordBytes: store.record_bytes, inUse: mechanisms.progress }),
    routes,
    version: (model) => operator.version(model),
    follows: (engine) => orders.follows(engine)
  }, { firstEventMs: steps.first_event, silenceMs: steps.silence }))
  const orders: EngineOrders = disposables.add(new EngineOrders({
    ...running,
    machine,
    demands: () => home.demands(),
    onReady: () => { home.schedule() }
  }))
  disposables.add(new EndsCleaner({ held: guards.held, appender, duty, clock, stateLog }))
  disposables.add(new StepCleaner({ topic, appender, contents, duty, clock, stateLog }, steps.status))
  const desk = new StepDesk({ topic, appender, contents, clock, metrics, stateLog }, { acceptMs: steps.accept, endMs: steps.end, longestWaitMs: store.long_poll, submissionCharacters: callCharacters })
  return { duty, home, desk, backlog: () => appender.backlog + contentsAppender.backlog }
}

function createContents ({ settings, ownAddress, services }: HostBase, { peers, handlers, membership }: OtherHosts, kept: Pick<ConstructorParameters<typeof StepContents>[0], 'log' | 'appender'>): StepContents {
  const placeOf = (address: string): string | undefined => membership.members().find((member) => member.address === address)?.place
  const holders = new ContentHolders({ peers, metrics: services.metrics, placeOf }, { address: ownAddress, place: settings.host.place })
  const contents = new StepContents({ ...services, ...kept, holders })
  serveContents(handlers, contents)
  return contents
}

function createDuty ({ settings, host, machine, services, disposables }: HostBase, { membership, standing }: OtherHosts, { topic, stepLog }: FollowedTopics): DutyKeeper {
  const { renew, lease, rest, doubt } = settings.duty
  return disposables.add(new DutyKeeper({
    ...services,
    source: topic,
    log: stepLog,
    doubt: (holder) => { membership.probeNow(asHostId(holder)) },
    isLost: (holder) => isLost(membership.members(), holder),
    standing: () => standing.now
  }, { duty: STEPS_DUTY, machine, holder: host, renewMs: renew, leaseMs: lease, restMs: rest, doubtMs: doubt }))
}

/** Whether a host does not answer, or its machine runs a later life of it. */
function isLost (members: readonly Member[], holder: string): boolean {
  const machine = machineOf(holder)
  return members.some(({ host, status }) => host === holder
    ? status === 'suspect' || status === 'dead'
    : status === 'alive' && machineOf(host) === machine)
}
