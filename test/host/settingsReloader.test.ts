/** Reloading of settings while a host runs. */

import { expect } from 'chai'
import { failure, success } from '../../src/base/common/resultCode.ts'
import type { Result } from '../../src/base/common/resultCode.ts'
import { SettingsReloader } from '../../src/host/node/settingsReloader.ts'
import type { RoutedSettings } from '../../src/settings/common/routedSettings.ts'
import { routedSettingsSchema } from '../../src/settings/common/routedSettings.ts'
import type { HostSettings } from '../../src/settings/node/readSettings.ts'

function settings (changes: { seeds?: string[], validFor?: number } = {}): RoutedSettings {
  return routedSettingsSchema.parse({
    host: { name: 'h', place: 'p' },
    listen: { callers: '127.0.0.1:1', readiness: '127.0.0.1:2', peers: '127.0.0.1:3', directory: '127.0.0.1:4' },
    store: { address: 'http://127.0.0.1:5' },
    peers: { key: 'between-the-hosts' },
    membership: { seeds: changes.seeds ?? [] },
    limits: { valid_for: changes.validFor ?? 2000 }
  })
}

describe('SettingsReloader', () => {
  const lines: string[] = []
  const applied: string[][] = []
  let read: Result<HostSettings> = success({ type: 'routes', settings: settings() })
  const recordLine = (what: string, details: object): void => { lines.push(`${what} ${JSON.stringify(details)}`) }
  const reloader = new SettingsReloader(settings(), () => read, ({ membership }) => { applied.push(membership.seeds) }, { changed: recordLine, alarm: recordLine, decided: recordLine })

  it('does nothing if the settings have not changed', () => {
    reloader.reloadIfChanged()
    expect(lines).to.deep.equal([])
  })

  it('applies seeds and lists the tables that need a restart', () => {
    read = success({ type: 'routes', settings: settings({ seeds: ['http://127.0.0.1:9'], validFor: 1000 }) })
    reloader.reloadIfChanged()
    reloader.reloadIfChanged()
    expect(applied).to.deep.equal([['http://127.0.0.1:9']])
    expect(lines.splice(0)).to.deep.equal(['settings reloaded {"seeds":1,"holdAfterRestart":"limits"}'])
  })

  it('reports an error once and keeps the previous settings', () => {
    read = failure('invalidSettings', 'line 3: host.name: is missing')
    reloader.reloadIfChanged()
    reloader.reloadIfChanged()
    expect(applied).to.have.length(1)
    expect(lines.splice(0)).to.have.length(1)
  })
})
