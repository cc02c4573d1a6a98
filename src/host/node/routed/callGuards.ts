/** Wires up crash handling for requests to targets: detecting targets that crash while processing a request, and quarantining such requests. */

import { RequestQuarantine } from '../../../actors/common/routes/requestQuarantine.ts'
import { TargetCrashDetector } from '../../../actors/common/routes/targetCrashDetector.ts'
import { GroupAppender } from '../../../actors/common/store/groupAppender.ts'
import type { HttpTargetClient } from '../../../adapters/node/httpTargetClient.ts'
import { sha256Fingerprints } from '../../../adapters/node/sha256Fingerprints.ts'
import type { FollowedTopics } from './followedTopics.ts'
import type { HostContext } from './hostContext.ts'

export interface CallGuards {
  readonly ends: TargetCrashDetector
  readonly held: RequestQuarantine
}

export function createCallGuards ({ settings: { store, mechanisms }, services, disposables }: HostContext, { targets, topic, stepLog }: FollowedTopics, client: HttpTargetClient): CallGuards {
  const fingerprints = sha256Fingerprints
  const ends = disposables.add(new TargetCrashDetector({ ...services, targets, client, fingerprints }))
  const appender = new GroupAppender({ ...services, log: stepLog }, { maxCallCharacters: store.call_bytes / 2 })
  const held = disposables.add(new RequestQuarantine({ ...services, ends, targets, topic, appender, fingerprints, mechanisms }))
  return { ends, held }
}
