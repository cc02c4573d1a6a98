/** Lookup of contents on other hosts, of which there are none. */

import { PeerContentReader } from '../../src/actors/common/steps/peerContentReader.ts'
import { failure } from '../../src/base/common/resultCode.ts'
import { noopMetrics } from './fakeHost.ts'

export const noContentHolders = new PeerContentReader({ peers: { call: async () => failure('targetUnreachable', 'no other host exists') }, metrics: noopMetrics, failureDomainOf: () => undefined }, { address: 'http://self', place: 'here' })
