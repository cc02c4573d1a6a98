/** Mechanisms as settings: all in use by default, each can be left out, and an unknown one is told with its line. */

import { expect } from 'chai'
import { readFileSync } from 'node:fs'
import { allMechanisms, disabledMechanisms, mechanismNames } from '../../src/core/common/mechanisms.ts'
import { submittedItemOrder } from '../../src/core/common/steps/stepPlan.ts'
import { chooseTarget } from '../../src/core/common/routes/targetChoice.ts'
import { parseSettings } from '../../src/settings/node/readSettings.ts'
import { targetDefinition } from '../support/routes.ts'
import { item as stepItem, submission } from '../support/steps.ts'

const settings = readFileSync('examples/routes.toml', 'utf8')

describe('the mechanisms', () => {
  it('are all in use unless the settings leave one out', () => {
    const whole = parseSettings(settings)
    expect(whole.ok && whole.value.type === 'routes' && whole.value.settings.mechanisms).to.deep.equal(allMechanisms)
    for (const name of mechanismNames) {
      const parsed = parseSettings(`${settings}\n[mechanisms]\n${name} = false\n`)
      expect(parsed.ok && parsed.value.type === 'routes' && disabledMechanisms(parsed.value.settings.mechanisms)).to.deep.equal([name])
    }
  })

  it('that are unknown or no truth values are told with their lines', () => {
    const from = settings.split('\n').length
    const parsed = parseSettings(`${settings}\n[mechanisms]\nsecond_sendz = false\nmoves = 0\n`)
    expect(parsed.ok ? [] : parsed.message.split('\n').sort()).to.deep.equal([
      `line ${from + 2}: mechanisms.second_sendz: this key is not known`,
      `line ${from + 3}: mechanisms.moves: Invalid input: expected boolean, received number`
    ].sort())
  })

  it('leave simple decisions behind: items as submitted, targets of any place', () => {
    const items = [stepItem('a', 'g1', 10), stepItem('b', 'g2', 90), stepItem('c', 'g1', 50)]
    expect(submittedItemOrder(submission('s', items), (group) => group === 'g2').map(({ item, rank }) => `${item.id} ${rank}`)).to.deep.equal(['a wanted', 'b carried', 'c wanted'])
    const idle = { inFlight: 0, report: undefined, reportAgeMs: 0, answerMs: 20, suspect: false }
    const targets = ['far', 'near'].map((place) => ({ ...idle, definition: targetDefinition({ id: place, place }) }))
    expect([0, 0.9].map((chance) => chooseTarget(targets, 'near', chance)?.definition.id)).to.deep.equal(['near', 'near'])
    expect([0, 0.9].map((chance) => chooseTarget(targets, undefined, chance)?.definition.id)).to.deep.equal(['far', 'near'])
  })
})
