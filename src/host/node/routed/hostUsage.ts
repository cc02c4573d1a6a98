/** What a host does for usage reports: counts for itself, and reports for all while it holds the duty. */

import type { DutyLeaseManager } from '../../../actors/common/duties/dutyLeaseManager.ts'
import { UsageMeter } from '../../../actors/common/usage/usageMeter.ts'
import { UsageReporter } from '../../../actors/common/usage/usageReporter.ts'
import { Connections } from '../../../adapters/node/connections.ts'
import { HttpPlatformDuties } from '../../../adapters/node/httpPlatformDuties.ts'
import type { UsageTimes } from '../../../core/common/usage/usagePlan.ts'
import type { RoutedSettings } from '../../../settings/common/routedSettings.ts'
import { dutyProtocol } from '../../../../platform/index.ts'
import type { HostBase } from './hostBase.ts'
import type { OtherHosts } from './otherHosts.ts'
import type { StoreLinks } from './storeLinks.ts'

/** One call at a time is under way; a second connection takes over from a silent one. */
const DUTY_CONNECTIONS = 2
const DUTY_SILENCE_MS = 5000

export interface HostUsage {
  readonly meter: UsageMeter
  /** Begins to report whenever this host holds the duty. */
  reportWith (duty: DutyLeaseManager): UsageReporter
}

/** Absent where the settings name no interface for reports. */
export function createUsage (base: HostBase, { standing }: OtherHosts, links: StoreLinks): HostUsage | undefined {
  const { settings: { usage, limits }, services, host, machine, disposables } = base
  if (usage === undefined) return undefined
  const log = links.keyedLog(usage.topic)
  const times = timesOf(usage)
  const meter = disposables.add(new UsageMeter({ ...services, log, host, hosts: () => standing.current.hosts }, times))
  return {
    meter,
    reportWith: (duty) => {
      const connections = disposables.add(new Connections({ maximumAnswerBytes: limits.answer_bytes, connectTimeoutMs: limits.connect_timeout, connections: DUTY_CONNECTIONS, silenceMs: DUTY_SILENCE_MS }))
      const duties = new HttpPlatformDuties(connections, dutyProtocol, usage.address)
      return disposables.add(new UsageReporter({ ...services, duty, log, duties, machine }, times))
    }
  }
}

function timesOf ({ window_seconds: window, due_seconds: due }: NonNullable<RoutedSettings['usage']>): UsageTimes {
  return { windowMs: window * 1000, dueMs: due * 1000 }
}
