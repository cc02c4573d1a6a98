/** How the descriptors of a process are shared between the addresses at which it listens. The rest is left to its own connections. */

/** Maximum number of connections at each address of a host. */
export interface ConnectionShares {
  readonly callers: number
  readonly peers: number
  readonly directory: number
  readonly readiness: number
  readonly metrics: number
}

const SHARES: ConnectionShares = { callers: 0.4, peers: 0.25, directory: 0.1, readiness: 0.02, metrics: 0.02 }
/** Descriptors for files and listening sockets. */
const RESERVED_DESCRIPTORS = 200

/**
 * @param maximumConnections limit of each address, whatever its share
 * @param descriptors number of descriptors that the process may have; `undefined` if it is not known
 */
export function connectionShares (maximumConnections: number, descriptors: number | undefined): ConnectionShares {
  const limit = (share: number): number => descriptors === undefined ? maximumConnections : Math.min(maximumConnections, Math.floor((descriptors - RESERVED_DESCRIPTORS) * share))
  return { callers: limit(SHARES.callers), peers: limit(SHARES.peers), directory: limit(SHARES.directory), readiness: limit(SHARES.readiness), metrics: limit(SHARES.metrics) }
}
