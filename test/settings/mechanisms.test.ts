/** Mechanism settings: all are enabled by default, each can be disabled, and unknown ones are reported with their lines. */

import { expect } from 'chai'
import { readFileSync } from 'node:fs'
import { allMechanisms, disabledMechanisms, mechanismNames } from '../../src/core/common/mechanisms.ts'
import { submittedItemOrder } from '../../src/core/common/steps/stepPlan.ts'
import { chooseTarget } from '../../src/core/common/routes/targetChoice.ts'
import { parseSettings } from '../../src/settings/node/readSettings.ts'
import { newTargetDefinition } from '../support/routes.ts'
import { newItem as stepItem, newSubmission } from '../support/steps.ts'

const settings = readFileSync('examples/routes.toml', 'utf8')

describe('mechanism settings', () => {
  it('enable all mechanisms except those that are disabled', () => {
    const defaults = parseSettings(settings)
    expect(defaults.ok && defaults.value.type === 'routes' && defaults.value.settings.mechanisms).to.deep.equal(allMechanisms)
    for (const name of mechanismNames) {
      const parsed = parseSettings(`${settings}\n[mechanisms]\n${name} = false\n`)
      expect(parsed.ok && parsed.value.type === 'routes' && disabledMechanisms(parsed.value.settings.mechanisms)).to.deep.equal([name])
    }
  })

  it('report unknown mechanisms and values that are not boolean with their lines', () => {
    const lineCount = settings.split('\n').length
    const parsed = parseSettings(`${settings}\n[mechanisms]\nsecond_sendz = false\nmoves = 0\n`)
    expect(parsed.ok ? [] : parsed.message.split('\n').sort()).to.deep.equal([
      `line ${lineCount + 2}: mechanisms.second_sendz: unknown key`,
      `line ${lineCount + 3}: mechanisms.moves: Invalid input: expected boolean, received number`
    ].sort())
  })

  it('have simple fallbacks: items in submission order, targets in any failure domain', () => {
    const items = [stepItem('a', 'g1', 10), stepItem('b', 'g2', 90), stepItem('c', 'g1', 50)]
    expect(submittedItemOrder(newSubmission('s', items), (group) => group === 'g2').map(({ item, rank }) => `${item.id} ${rank}`)).to.deep.equal(['a wanted', 'b carried', 'c wanted'])
    const idle = { inFlight: 0, report: undefined, reportAgeMs: 0, sentSinceReport: 0, answerMs: 20, suspect: false, reportsSlowdown: false }
    const targets = ['far', 'near'].map((place) => ({ ...idle, definition: newTargetDefinition({ id: place, place }) }))
    expect([0, 0.9].map((chance) => chooseTarget(targets, 'near', chance)?.definition.id)).to.deep.equal(['near', 'near'])
    expect([0, 0.9].map((chance) => chooseTarget(targets, undefined, chance)?.definition.id)).to.deep.equal(['far', 'near'])
  })
})
