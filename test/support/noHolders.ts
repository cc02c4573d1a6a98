/** Contents of which no other host holds any. */

import { ContentHolders } from '../../src/actors/common/steps/contentHolders.ts'
import { failure } from '../../src/base/common/resultCode.ts'
import { quietMetrics } from './fakeHost.ts'

export const noHolders = new ContentHolders({ peers: { call: async () => failure('targetUnreachable', 'there is no other host') }, metrics: quietMetrics, placeOf: () => undefined }, { address: 'http://self', place: 'here' })
