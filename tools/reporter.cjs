// Extends mocha's spec reporter: also writes the test counts and the titles of failed tests to reports/tests.json for CI.
const { mkdirSync, writeFileSync } = require('node:fs')
const { reporters } = require('mocha')

module.exports = class extends reporters.Spec {
  constructor (runner, options) {
    super(runner, options)
    const failed = []
    runner.on('fail', (test) => failed.push(test.fullTitle()))
    runner.once('end', () => {
      mkdirSync('reports', { recursive: true })
      const { passes = 0, pending = 0 } = this.stats ?? {}
      writeFileSync('reports/tests.json', JSON.stringify({ passed: passes, skipped: pending, failed }))
    })
  }
}
