/** The reference pages say what the program does. */

import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import { resultCodes } from '../../src/base/common/resultCode.ts'
import { logsPage, metricsPage, resultCodesPage, settingsPage } from '../../tools/references.ts'

describe('the reference pages', () => {
  it('list the result codes as they are', () => {
    expect(readFileSync('docs/RESULT-CODES.md', 'utf8')).to.equal(resultCodesPage())
  })

  it('list the settings as they are', () => {
    expect(readFileSync('docs/SETTINGS.md', 'utf8')).to.equal(settingsPage())
  })

  it('list the log lines as they are', () => {
    expect(readFileSync('docs/LOGS.md', 'utf8')).to.equal(logsPage())
  })

  it('list the counters as they are', () => {
    expect(readFileSync('docs/METRICS.md', 'utf8')).to.equal(metricsPage())
  })

  it('give each code a number of its own, in the hundred of its effect', () => {
    const entries = Object.values(resultCodes)
    expect(new Set(entries.map(({ number }) => number)).size).to.equal(entries.length)
    for (const { number, effect } of entries) {
      expect(effect).to.equal(number < 2000 ? 'not-run' : number < 3000 ? 'unknown-outcome' : 'rejected')
    }
  })
})
