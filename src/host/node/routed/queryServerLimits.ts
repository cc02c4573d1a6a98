/** Limits of the servers that answer short queries without a body: for addresses, readiness and metrics. */

import type { ServerLimits } from '../../../entry/node/limitedServer.ts'
import type { RoutedSettings } from '../../../settings/common/routedSettings.ts'

const HEAD_TIMEOUT_MS = 3000
const REQUEST_TIMEOUT_MS = 5000
const KEEP_ALIVE_TIMEOUT_MS = 5000

export function queryServerLimits ({ limits }: Pick<RoutedSettings, 'limits'>, maximumConnections: number): ServerLimits {
  return {
    maximumConnections,
    maximumPipelinedRequests: limits.pipelined_requests,
    unreadTimeoutMs: limits.caller_pause,
    headTimeoutMs: HEAD_TIMEOUT_MS,
    requestTimeoutMs: REQUEST_TIMEOUT_MS,
    keepAliveTimeoutMs: KEEP_ALIVE_TIMEOUT_MS
  }
}
