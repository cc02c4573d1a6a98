/** How the memory of a process is shared between its clients, its own data, and garbage that has not been collected yet. */

export interface MemoryShares {
  /** Maximum memory that clients may occupy. */
  readonly clientBytes: number
  /** Size of the heap and of buffers above which garbage is collected while clients occupy much memory; `undefined` if the memory of the process is not known. */
  readonly collectAboveBytes: number | undefined
}

const CLIENT_SHARE = 0.2
const COLLECT_ABOVE_SHARE = 0.42
const BYTES_PER_MB = 1_048_576

/**
 * @param maximumClientBytes limit of the memory of clients, whatever their share
 * @param memoryMb memory that the process may use; `undefined` if it is not known
 */
export function memoryShares (maximumClientBytes: number, memoryMb: number | undefined): MemoryShares {
  if (memoryMb === undefined) return { clientBytes: maximumClientBytes, collectAboveBytes: undefined }
  const memoryBytes = memoryMb * BYTES_PER_MB
  return { clientBytes: Math.min(maximumClientBytes, Math.floor(memoryBytes * CLIENT_SHARE)), collectAboveBytes: Math.floor(memoryBytes * COLLECT_ABOVE_SHARE) }
}
