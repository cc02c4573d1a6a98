/** The topics that a host follows: operator configuration, target registrations, and steps. */

import { OperatorTopic } from '../../../actors/common/routes/operatorTopic.ts'
import { TargetTable } from '../../../actors/common/routes/targetTable.ts'
import { TargetTopic } from '../../../actors/common/routes/targetTopic.ts'
import { OutageLogDeduplicator } from '../../../actors/common/store/outageLogDeduplicator.ts'
import { StepTopic } from '../../../actors/common/store/stepTopic.ts'
import { operatorPace, stepsPace, targetsPace } from '../../../core/common/steps/followPace.ts'
import type { KeyedLog } from '../../../ports/common/keyedLog.ts'
import { registryProtocol } from '../../../../platform/index.ts'
import type { HostContext } from './hostContext.ts'
import type { OtherHosts } from './otherHosts.ts'
import type { StoreAccess } from './storeAccess.ts'

export interface FollowedTopics {
  readonly operator: OperatorTopic
  readonly targets: TargetTable
  readonly targetTopic: TargetTopic
  /** Follows the steps that are written to `stepLog`. */
  readonly topic: StepTopic
  readonly stepLog: KeyedLog
  start (): void
}

export function createFollowedTopics ({ settings: { store, mechanisms }, services, disposables }: HostContext, { standing }: OtherHosts, { reachability: reach, keyedLog }: StoreAccess): FollowedTopics {
  const topicServices = { ...services, stateLog: new OutageLogDeduplicator(services.stateLog), onRegained: reach.onRegained }
  const waitMs = store.long_poll

  const operator = disposables.add(new OperatorTopic({ log: keyedLog(registryProtocol.operatorTopic), ...topicServices }, { name: registryProtocol.operatorTopic, pace: () => operatorPace(standing.current, topic.isReadWithoutPause, { waitMs, pauseMs: 0 }) }, registryProtocol))
  const targets = new TargetTable({ ...services, mechanisms })
  const targetTopic = disposables.add(new TargetTopic({ log: keyedLog(registryProtocol.targetTopic), ...topicServices }, { name: registryProtocol.targetTopic, pace: () => targetsPace(standing.current, topic.isReadWithoutPause, { waitMs, pauseMs: store.registry_pause }) }, registryProtocol, targets))
  const stepLog = keyedLog(store.topic)
  const topic: StepTopic = disposables.add(new StepTopic({ log: stepLog, ...topicServices }, { name: store.topic, pace: () => stepsPace(standing.current, { waitMs, pauseMs: store.read_pause }) }))
  return {
    operator,
    targets,
    targetTopic,
    topic,
    stepLog,
    start: () => { for (const each of [operator, targetTopic, topic]) each.start() }
  }
}
