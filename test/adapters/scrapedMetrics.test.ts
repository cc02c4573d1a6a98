/** Counters, gauges and histograms as scrapers read them. */

import { expect } from 'chai'
import { ScrapedMetrics } from '../../src/adapters/node/scrapedMetrics.ts'
import type { Metrics } from '../../src/ports/common/observation.ts'

describe('scraped metrics', () => {
  const passed: string[] = []
  const next: Metrics = {
    count: (name, by = 1) => { passed.push(`${name} ${by}`) },
    gauge: (name, value) => { passed.push(`${name} ${value}`) },
    timing: (name, milliseconds) => { passed.push(`${name} ${milliseconds}`) }
  }
  const metrics = new ScrapedMetrics('h', next)

  it('are text with meanings, and go on to the next collector', async () => {
    metrics.count('store.calls')
    metrics.count('store.calls', 2)
    metrics.count('front.refused.overloaded')
    metrics.count('services.answered')
    metrics.gauge('duty.term', 3)
    metrics.timing('calls.answer', 42)
    metrics.timing('calls.answer', 900)
    const lines = (await metrics.text()).split('\n').filter((line) => !line.startsWith('#') && (!line.includes('_bucket') || line.includes('le="50"')))
    expect(lines).toMatchSnapshot()
    expect(passed).to.deep.equal(['store.calls 1', 'store.calls 2', 'front.refused.overloaded 1', 'services.answered 1', 'duty.term 3', 'calls.answer 42', 'calls.answer 900'])
  })
})
