/** The watch for ends of targets, as tests of calls and runs need it. */

import { TargetEnds } from '../../src/actors/common/routes/targetEnds.ts'
import type { TargetTable } from '../../src/actors/common/routes/targetTable.ts'
import { sha256Fingerprints } from '../../src/adapters/node/sha256Fingerprints.ts'
import type { Clock } from '../../src/ports/common/clock.ts'
import type { StateLog } from '../../src/ports/common/observation.ts'
import type { TargetClient } from '../../src/ports/common/targetClient.ts'
import { quietLog, quietMetrics } from './fakeHost.ts'

export function watchEnds (targets: Pick<TargetTable, 'onGone'>, client: Pick<TargetClient, 'listens'>, clock: Clock, stateLog: StateLog = quietLog): TargetEnds {
  return new TargetEnds({ targets, client, fingerprints: sha256Fingerprints, clock, metrics: quietMetrics, stateLog })
}
