/** The load that a host reports to the others with its probes. */

export interface ProbeLoadSources {
  readonly isReady: () => boolean
  /** Number of caller requests in flight. */
  readonly requests: () => number
  /** Maximum number of open connections from callers. */
  readonly maximumConnections: number
  /** Whether the hosts to which callers connect are selected by their loads. */
  readonly isSpread: () => boolean
  /** Returns the fraction of the last second in which the processor was busy. */
  readonly processorLoad: () => number
}

/** Highest load that a host reports while it accepts callers; 1 means that it accepts none. */
const MAX_REPORTED_LOAD = 0.99

/** Returns the load of this host: 1 if it accepts no callers, otherwise the larger of its connections in use and, where it affects the spread of callers, its processor load. */
export function probeLoad ({ isReady, requests, maximumConnections, isSpread, processorLoad }: ProbeLoadSources): number {
  if (!isReady()) return 1
  return Math.min(MAX_REPORTED_LOAD, Math.max(requests() / maximumConnections, isSpread() ? processorLoad() : 0))
}
