/** Settings: all errors are reported at once with their lines and keys, and the examples are valid. */

import { readdirSync, readFileSync } from 'node:fs'
import { expect } from 'chai'
import { hasCallQueue } from '../../src/settings/common/routedSettings.ts'
import { parseSettings, readSettings } from '../../src/settings/node/readSettings.ts'

const validSettings = `
[host]
name = "abdali-1"
place = "Abdali"
listen = "127.0.0.1:7001"
address = "http://127.0.0.1:7001"
[log]
address = "http://127.0.0.1:7000"
[peers]
key = "a-long-peer-key"
`

describe('settings', () => {
  it('apply all defaults', () => {
    const parsed = parseSettings(validSettings)
    expect(parsed.ok && parsed.value.type === 'pools' && parsed.value.settings).toMatchSnapshot()
  })

  it('report every error with its line', () => {
    const invalidSettings = `${validSettings.replace('7001"\naddress', '7001"\ncolour = "red"\naddress').replace('listen = "127.0.0.1:7001"', 'listen = "localhost:7001"')}
[limits]
connections = -4
heartbeat = "fast"
[[callers]]
name = "booking"
key = "a-long-peer-key"
[[callers]]
name = "records"
role = "king"
key = "short"
[unheard]
x = 1
`
    const parsed = parseSettings(invalidSettings)
    expect(parsed.ok ? [] : parsed.message.split('\n')).toMatchSnapshot()
  })

  it('reject a grace period in which a host cannot stop, and accept any other', () => {
    // Guards against a host that is ended by force in the middle of its stop.
    const routed = (limits: string): string => `
[host]
name = "a"
place = "p"
[listen]
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
peers = "127.0.0.1:3"
directory = "127.0.0.1:4"
[store]
address = "http://127.0.0.1:5"
[peers]
key = "a-long-peer-key"
[limits]
${limits}
`
    const errorOf = (limits: string): string => {
      const parsed = parseSettings(routed(limits))
      return parsed.ok ? '' : parsed.message
    }
    expect(['', 'grace_seconds = 8', 'grace_seconds = 1.5', 'stop_serving = 1\nstop_timeout = 1'].map(errorOf)).to.deep.equal(['', '', '', ''])
    expect(errorOf('grace_seconds = 0.7')).to.equal('line 15: limits.grace_seconds: must be at least 0.8')
  })

  it('report the line of a TOML syntax error', () => {
    const parsed = parseSettings('[host]\nname = \n')
    expect(parsed.ok ? '' : parsed.message).to.match(/^line 2: /)
  })

  it('report a missing file', () => {
    const parsed = readSettings('nowhere.toml')
    expect(parsed.ok ? '' : parsed.code).to.equal('invalidSettings')
  })

  for (const file of readdirSync('examples').filter((name) => name.endsWith('.toml'))) {
    it(`of examples/${file} are valid`, () => {
      const parsed = readSettings(`examples/${file}`)
      expect(parsed.ok ? '' : parsed.message).to.equal('')
    })
  }

  it('let calls wait in queues by contract, unless they state otherwise', () => {
    // Guards against a change of behavior of deployments whose contracts do not provide for it.
    const example = readFileSync('examples/routes.toml', 'utf8')
    const contract = '[deployment]\ncontracts = ["identity", "pressure"]\n'
    for (const { tables, expected } of [
      { tables: '', expected: false },
      { tables: '[deployment]\ncontracts = []\n', expected: false },
      { tables: '[deployment]\ncontracts = ["identity"]\n', expected: false },
      { tables: contract, expected: true },
      { tables: `${contract}[queue]\nmode = "off"\n`, expected: false },
      { tables: '[queue]\nmode = "on"\n', expected: true },
      { tables: `${contract}[mechanisms]\ncall_queue = false\n`, expected: false }
    ]) {
      const parsed = parseSettings(`${example}\n${tables}`)
      expect(parsed.ok && parsed.value.type === 'routes' && hasCallQueue(parsed.value.settings), tables).to.equal(expected)
    }
  })
})
