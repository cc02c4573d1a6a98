/** Wires up usage reporting: each host counts its own usage, and the holder of the duty reports for all hosts. */

import type { DutyLeaseManager } from '../../../actors/common/duties/dutyLeaseManager.ts'
import { UsageMeter } from '../../../actors/common/usage/usageMeter.ts'
import { UsageReporter } from '../../../actors/common/usage/usageReporter.ts'
import { ConnectionPools } from '../../../adapters/node/connectionPools.ts'
import { HttpPlatformDuties, MAX_DUTY_ANSWER_BYTES } from '../../../adapters/node/httpPlatformDuties.ts'
import type { UsageTimes } from '../../../core/common/usage/usagePlan.ts'
import type { RoutedSettings } from '../../../settings/common/routedSettings.ts'
import { dutyProtocol } from '../../../../platform/index.ts'
import type { HostContext } from './hostContext.ts'
import type { OtherHosts } from './otherHosts.ts'
import type { StoreAccess } from './storeAccess.ts'

/** Only one call is in flight at a time; the second connection replaces one that stops responding. */
const MAX_REPORT_CONNECTIONS = 2
const REPORT_IDLE_TIMEOUT_MS = 5000

export interface HostUsage {
  readonly meter: UsageMeter
  /** Creates a reporter that reports whenever this host holds the duty. */
  startReporting (duty: DutyLeaseManager): UsageReporter
}

/** Returns `undefined` if the settings have no `usage` table. */
export function createHostUsage (context: HostContext, { standing }: OtherHosts, storeAccess: StoreAccess): HostUsage | undefined {
  const { settings: { usage, limits }, services, host, machine, disposables } = context
  if (usage === undefined) return undefined
  const log = storeAccess.keyedLog(usage.topic)
  const times = toUsageTimes(usage)
  const meter = disposables.add(new UsageMeter({ ...services, log, host, hosts: () => standing.current.hosts }, times))
  return {
    meter,
    startReporting: (duty) => {
      const connections = disposables.add(new ConnectionPools({ maximumAnswerBytes: MAX_DUTY_ANSWER_BYTES, connectTimeoutMs: limits.connect_timeout, connections: MAX_REPORT_CONNECTIONS, inactivityTimeoutMs: REPORT_IDLE_TIMEOUT_MS }))
      const duties = new HttpPlatformDuties(connections, dutyProtocol, usage.address)
      return disposables.add(new UsageReporter({ ...services, duty, log, duties, machine }, times))
    }
  }
}

function toUsageTimes ({ window_seconds: window, due_seconds: due }: NonNullable<RoutedSettings['usage']>): UsageTimes {
  return { windowMs: window * 1000, dueMs: due * 1000 }
}
