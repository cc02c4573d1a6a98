/** A host's ways to the store: straight, and through other hosts while the store does not answer it. */

import { AppendFailureLogger } from '../../../actors/common/store/appendFailureLogger.ts'
import { LAST_KEY } from '../../../actors/common/store/keyedTail.ts'
import { RelayedKeyedLog, serveRelays } from '../../../actors/common/store/relayedKeyedLog.ts'
import { StoreReachability } from '../../../actors/common/store/storeReachability.ts'
import { Connections } from '../../../adapters/node/connections.ts'
import { HistoryClient } from '../../../adapters/node/historyClient.ts'
import { KeyedLogClient } from '../../../adapters/node/keyedLogClient.ts'
import { StoreCaller } from '../../../adapters/node/storeCaller.ts'
import type { History } from '../../../ports/common/history.ts'
import type { KeyedLog } from '../../../ports/common/keyedLog.ts'
import { historyProtocol, storeProtocol } from '../../../../platform/index.ts'
import type { HostBase } from './hostBase.ts'
import type { OtherHosts } from './otherHosts.ts'

/** Connections to the store: three long polls and some appends at once. */
const STORE_CONNECTIONS = 16
/** Longest wait for the answer to a probe of the store, in milliseconds: longer than a slow store takes, shorter than an outage. */
const STORE_PROBE_MS = 500

export interface StoreLinks {
  readonly reach: StoreReachability
  /** A keyed topic; other hosts that do not reach the store may call it through this host. */
  readonly keyedLog: (topic: string) => KeyedLog
  /** The topic of progress, to which there is no way around. */
  readonly progress: History
}

export function createStoreLinks ({ settings, services, disposables }: HostBase, { peers, handlers, membership }: OtherHosts): StoreLinks {
  const { store, limits, mechanisms } = settings
  const { clock, metrics } = services
  const connections = disposables.add(new Connections({ maximumAnswerBytes: limits.answer_bytes, connectTimeoutMs: limits.connect_timeout, connections: STORE_CONNECTIONS, silenceMs: store.timeout + store.long_poll }))
  const probes = new KeyedLogClient(new StoreCaller(connections, metrics, store.address, STORE_PROBE_MS), storeProtocol, store.topic)
  const reach = disposables.add(new StoreReachability(clock, async () => (await probes.newest(LAST_KEY)).ok))
  const caller = new StoreCaller(connections, metrics, store.address, store.timeout)
  const notes = new AppendFailureLogger(services)
  const relays = { peers: notes.wrapPeers(peers), helpers: () => mechanisms.relays ? membership.addressesReachingStore() : [], reach, metrics }
  const direct = new Map<string, KeyedLog>()
  serveRelays(handlers, direct)
  return {
    reach,
    keyedLog: (topic) => {
      const client = notes.wrapLog(topic, new KeyedLogClient(caller, storeProtocol, topic))
      direct.set(topic, client)
      return new RelayedKeyedLog(relays, client, topic)
    },
    progress: new HistoryClient(caller, historyProtocol, store.progress_topic)
  }
}
