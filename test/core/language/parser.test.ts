/** The query and command language: the meaning of each statement, and the position of each error. */

import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import fc from 'fast-check'
import { applyCommand, emptyConfiguration } from '../../../src/core/common/fold/configuration.ts'
import { parseStatement } from '../../../src/core/common/language/parser.ts'
import { filterRows } from '../../../src/core/common/language/rows.ts'

const statements = [
  'show targets where place = "Abdali" and weights < 41',
  'show samples of subscription drafter',
  'show audit since 10m',
  'create pool drafter copies 6',
  'create lane desk pool viewings priority 0 deadline 2s callerLimit 20',
  'create target drafter-1 pool drafter address "http://10.0.0.4:8000" place milano-a slots 16 fenced true',
  'set lane desk priority 2 if revision = 118',
  'remove subscription "odd name"',
  'remove lane desk if revision = 4',
  'drain target drafter-1',
  'restore target drafter-1',
  'load weights 42 on pool drafter'
]

const invalidStatements = [
  '', 'show', 'show cats', 'show samples', 'show targets where', 'show targets where place', 'show targets were x = 1',
  'show targets where place = "Abdali', 'create pool', 'create cat x', 'create pool p size 3', 'create pool p copies 1 copies 2',
  'set lane desk priority 2 if revision > 3', 'set lane desk priority 2 when revision = 3', 'drain pool p', 'load weights x on pool p', 'load bias 3 on pool p',
  'create pool p copies 6;', 'create pool __proto__ copies 1', 'show pools show pools'
]

describe('the language', () => {
  it('parses valid statements', () => {
    expect(statements.map((text) => ({ text, parsed: parseStatement(text) }))).toMatchSnapshot()
  })

  it('reports the column of each error', () => {
    expect(invalidStatements.map((text) => {
      const parsed = parseStatement(text)
      return { text, parsed: parsed.ok ? 'understood' : { code: parsed.code, column: parsed.column, message: parsed.message.split('\n')[0] } }
    })).toMatchSnapshot()
  })

  it('returns a statement or a failure with a code for any input', () => {
    const words = fc.array(fc.oneof(fc.constantFrom('show', 'targets', 'where', '=', '"x"', '5', 'and', 'create', 'pool', 'if', 'revision', '<='), fc.string()), { maxLength: 12 })
    fc.assert(fc.property(words, (parts) => {
      const parsed = parseStatement(parts.join(' '))
      if (!parsed.ok) expect(parsed.code).to.be.oneOf(['syntax', 'malformed'])
    }), { seed: 2, numRuns: 1000 })
  })

  it('filters rows by all conditions; a missing field matches only !=', () => {
    const rows = [{ name: 'a', weights: 40 }, { name: 'b', weights: 41 }, { name: 'c', weights: null }]
    const names = (where: string): unknown[] => {
      const parsed = parseStatement(`show targets where ${where}`)
      return parsed.ok && parsed.value.type === 'show' ? filterRows(rows, parsed.value.conditions).map(({ name }) => name) : []
    }
    expect([names('weights < 41'), names('weights != 40'), names('weights >= 40 and name != a'), names('nothing = 1')]).to.deep.equal([['a'], ['b', 'c'], ['b'], []])
  })

  for (const file of ['amman', 'tavolario']) {
    it(`accepts every command of examples/${file}.commands`, () => {
      const configuration = emptyConfiguration()
      const lines = readFileSync(`examples/${file}.commands`, 'utf8').split('\n').filter((line) => line !== '' && !line.startsWith('#'))
      lines.forEach((line, index) => {
        const parsed = parseStatement(line)
        if (!parsed.ok || parsed.value.type !== 'command') throw new Error(`${line}: ${parsed.ok ? 'not a command' : parsed.message}`)
        expect(applyCommand(configuration, parsed.value.command, { by: 'test', revision: index + 1 }), line).to.deep.equal({ ok: true, value: index + 1 })
      })
      expect(lines.length).to.be.greaterThan(5)
    })
  }
})
