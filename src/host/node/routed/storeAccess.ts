/** A host's access to the store: directly, or relayed through other hosts while the store does not answer it. */

import { AppendFailureLogger } from '../../../actors/common/store/appendFailureLogger.ts'
import { LAST_KEY } from '../../../actors/common/store/keyedTail.ts'
import { RelayedKeyedLog, serveRelays } from '../../../actors/common/store/relayedKeyedLog.ts'
import { StoreReachability } from '../../../actors/common/store/storeReachability.ts'
import { ConnectionPools } from '../../../adapters/node/connectionPools.ts'
import { UnkeyedLogClient } from '../../../adapters/node/unkeyedLogClient.ts'
import { KeyedLogClient } from '../../../adapters/node/keyedLogClient.ts'
import { StoreClient } from '../../../adapters/node/storeClient.ts'
import { OPERATOR_WAIT_FACTOR } from '../../../core/common/steps/followPace.ts'
import type { UnkeyedLog } from '../../../ports/common/unkeyedLog.ts'
import type { KeyedLog } from '../../../ports/common/keyedLog.ts'
import { unkeyedLogProtocol, storeProtocol } from '../../../../platform/index.ts'
import type { HostContext } from './hostContext.ts'
import type { OtherHosts } from './otherHosts.ts'

/** Leaves room for three concurrent long polls and several appends. */
const MAX_STORE_CONNECTIONS = 16
/** A page of records is at most as large as an append, and larger by a third in base64. */
const MAX_PAGES_PER_ANSWER = 2
/** Longer than a slow store takes to answer, shorter than an outage. */
const STORE_PROBE_TIMEOUT_MS = 500

export interface StoreAccess {
  readonly reachability: StoreReachability
  /** Returns a client for a keyed topic, which hosts that cannot reach the store may also use through this host. */
  readonly keyedLog: (topic: string) => KeyedLog
  /** The progress topic, which is never relayed through other hosts. */
  readonly progress: UnkeyedLog
}

export function createStoreAccess ({ settings, services, disposables }: HostContext, { peers, handlers, membership }: OtherHosts): StoreAccess {
  const { store, limits, mechanisms } = settings
  const { clock, metrics } = services
  const connections = disposables.add(new ConnectionPools({ maximumAnswerBytes: MAX_PAGES_PER_ANSWER * store.call_bytes, connectTimeoutMs: limits.connect_timeout, connections: MAX_STORE_CONNECTIONS, inactivityTimeoutMs: store.timeout + store.long_poll * OPERATOR_WAIT_FACTOR }))
  const probeClient = new KeyedLogClient(new StoreClient(connections, metrics, store.address, STORE_PROBE_TIMEOUT_MS), storeProtocol, store.topic)
  const reachability = disposables.add(new StoreReachability(clock, async () => (await probeClient.newest(LAST_KEY)).ok))
  const caller = new StoreClient(connections, metrics, store.address, store.timeout)
  const appendOutcomeLogger = new AppendFailureLogger(services)
  const relays = { peers: appendOutcomeLogger.wrapPeers(peers), helpers: () => mechanisms.relays ? membership.addressesReachingStore() : [], reach: reachability, metrics }
  const directClients = new Map<string, KeyedLog>()
  serveRelays(handlers, directClients)
  return {
    reachability,
    keyedLog: (topic) => {
      const client = appendOutcomeLogger.wrapLog(topic, new KeyedLogClient(caller, storeProtocol, topic))
      directClients.set(topic, client)
      return new RelayedKeyedLog(relays, client, topic)
    },
    progress: new UnkeyedLogClient(caller, unkeyedLogProtocol, store.progress_topic)
  }
}
