/** Contents of which no other host holds any. */

import { PeerContentReader } from '../../src/actors/common/steps/peerContentReader.ts'
import { failure } from '../../src/base/common/resultCode.ts'
import { quietMetrics } from './fakeHost.ts'

export const noHolders = new PeerContentReader({ peers: { call: async () => failure('targetUnreachable', 'there is no other host') }, metrics: quietMetrics, failureDomainOf: () => undefined }, { address: 'http://self', place: 'here' })
