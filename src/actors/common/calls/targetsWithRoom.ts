/** Selects the targets of a service to which a call may be sent where calls wait in queues. */

import { hasRoom } from '../../../core/common/routes/targetEstimate.ts'
import type { TargetLoad } from '../../../core/common/routes/targetChoice.ts'

/** Returns the targets that have room. Suspect targets are left out while there are others: waiting for a full target is better than a call to one that does not answer. */
export function targetsWithRoom<Load extends TargetLoad> (loads: readonly Load[]): Load[] {
  const sound = loads.filter(({ suspect }) => !suspect)
  return (sound.length > 0 ? sound : loads).filter(hasRoom)
}
