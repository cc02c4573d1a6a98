/**
 * Applies changed settings while the host runs. Only the membership seeds take effect at once;
 * other changed tables, such as addresses and limits, take effect on the next start and are listed
 * in the log. Invalid settings are logged and change nothing.
 */

import type { Result } from '../../base/common/resultCode.ts'
import type { StateLog } from '../../ports/common/observation.ts'
import type { RoutedSettings } from '../../settings/common/routedSettings.ts'
import type { HostSettings } from '../../settings/node/readSettings.ts'

export class SettingsReloader {
  private text: string
  private mistake = ''

  constructor (
    private current: RoutedSettings,
    private readonly readSettings: () => Result<HostSettings>,
    private readonly apply: (settings: RoutedSettings) => void,
    private readonly stateLog: StateLog
  ) {
    this.text = JSON.stringify(current)
  }

  /** Reads the settings and applies them if they have changed. */
  reloadIfChanged (): void {
    const result = this.readSettings()
    if (!result.ok) return this.reportOnce(result.message)
    if (result.value.type !== 'routes') return this.reportOnce('the settings are for another type of host')
    this.mistake = ''
    const text = JSON.stringify(result.value.settings)
    if (text === this.text) return
    const tablesNeedingRestart = this.needsRestart(result.value.settings)
    this.stateLog.changed('settings reloaded', { seeds: result.value.settings.membership.seeds.length, holdAfterRestart: tablesNeedingRestart.join(' ') })
    this.text = text
    this.current = result.value.settings
    this.apply(result.value.settings)
  }

  /** Lists the changed tables that are not applied while the host runs. */
  private needsRestart (next: RoutedSettings): string[] {
    const tables = Object.keys(next) as (keyof RoutedSettings)[]
    return tables.filter((table) => table !== 'membership' && JSON.stringify(next[table]) !== JSON.stringify(this.current[table]))
  }

  private reportOnce (mistake: string): void {
    if (mistake === this.mistake) return
    this.mistake = mistake
    this.stateLog.alarm('settings cannot be reloaded', { mistake })
  }
}
