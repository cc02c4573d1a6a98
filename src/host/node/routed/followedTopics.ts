/** The topics that a host follows: operator configuration, target registrations, and steps. */

import { OperatorTopic } from '../../../actors/common/routes/operatorTopic.ts'
import { TargetTable } from '../../../actors/common/routes/targetTable.ts'
import { TargetTopic } from '../../../actors/common/routes/targetTopic.ts'
import type { TailSettings } from '../../../actors/common/store/keyedTail.ts'
import { OutageLogDeduplicator } from '../../../actors/common/store/outageLogDeduplicator.ts'
import { StepTopic } from '../../../actors/common/store/stepTopic.ts'
import { isCandidate } from '../../../core/common/duties/dutyOrder.ts'
import { followPauseMs } from '../../../core/common/steps/followPause.ts'
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
  const tailSettings = (name: string, pauseMs: () => number): TailSettings => ({ name, longPollMs: store.long_poll, pauseMs })
  const followPause = (defaultPauseMs: number): number => followPauseMs(standing.current.hosts, defaultPauseMs)

  const operator = disposables.add(new OperatorTopic({ log: keyedLog(registryProtocol.operatorTopic), ...topicServices }, tailSettings(registryProtocol.operatorTopic, () => 0), registryProtocol))
  const targets = new TargetTable({ ...services, mechanisms })
  const targetTopic = disposables.add(new TargetTopic({ log: keyedLog(registryProtocol.targetTopic), ...topicServices }, tailSettings(registryProtocol.targetTopic, () => followPause(store.registry_pause)), registryProtocol, targets))
  const stepLog = keyedLog(store.topic)
  const topic = disposables.add(new StepTopic({ log: stepLog, ...topicServices }, tailSettings(store.topic, () => isCandidate(standing.current) ? store.read_pause : followPause(store.read_pause))))
  return {
    operator,
    targets,
    targetTopic,
    topic,
    stepLog,
    start: () => { for (const each of [operator, targetTopic, topic]) each.start() }
  }
}
