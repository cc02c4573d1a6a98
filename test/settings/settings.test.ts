/** Settings: all errors are reported at once with their lines and keys, and the examples are valid. */

import { readdirSync } from 'node:fs'
import { expect } from 'chai'
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
})
