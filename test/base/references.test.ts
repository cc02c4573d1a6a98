/** Tests that the generated reference pages are up to date. */

import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import { resultCodes } from '../../src/base/common/resultCode.ts'
import { logsPage, metricsPage, resultCodesPage, settingsPage } from '../../tools/references.ts'

describe('the reference pages', () => {
  it('list the current result codes', () => {
    expect(readFileSync('docs/RESULT-CODES.md', 'utf8')).to.equal(resultCodesPage())
  })

  it('list the current settings', () => {
    expect(readFileSync('docs/SETTINGS.md', 'utf8')).to.equal(settingsPage())
  })

  it('list the current log events', () => {
    expect(readFileSync('docs/LOGS.md', 'utf8')).to.equal(logsPage())
  })

  it('list the current metrics', () => {
    expect(readFileSync('docs/METRICS.md', 'utf8')).to.equal(metricsPage())
  })

  it('assign each code a unique number, in the range of its effect', () => {
    const entries = Object.values(resultCodes)
    expect(new Set(entries.map(({ number }) => number)).size).to.equal(entries.length)
    for (const { number, effect } of entries) {
      expect(effect).to.equal(number < 2000 ? 'not-run' : number < 3000 ? 'unknown-outcome' : 'rejected')
    }
  })
})
