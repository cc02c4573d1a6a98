/** Counters, gauges and histograms as scrapers read them. */

import { expect } from 'chai'
import { ScrapedMetrics, scrapedName } from '../../src/adapters/node/scrapedMetrics.ts'
import type { CounterName, GaugeName } from '../../src/base/common/metricNames.ts'
import { counters, gauges } from '../../src/base/common/metricNames.ts'
import type { Metrics } from '../../src/ports/common/observation.ts'

/** What is kept of a scrape by those who collect many, in characters. */
const KEPT_CHARACTERS = 4096

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

  it('have every gauge and counter in their first 4 KB, however many times were measured', async () => {
    // In an incident on 84 hosts only the first 4 KB of each scrape were left. They were histograms and
    // comments; the counters that tell the causes apart were cut off.
    const full = new ScrapedMetrics('front-milano-b-12', next)
    for (const name of ['calls.answer', 'completions.time', 'services.time', 'steps.accept', 'steps.run'] as const) for (let tookMs = 1; tookMs < 30_000; tookMs *= 2) full.timing(name, tookMs)
    const coded = ['front.refused.overloaded', 'completions.unknownOutcome', 'services.targetRefused', 'task.membership.failed'] as const
    for (const name of [...Object.keys(counters) as CounterName[], ...coded]) full.count(name, 1234)
    for (const name of Object.keys(gauges) as GaugeName[]) full.gauge(name, 56)
    const text = await full.text()
    const kept = text.slice(0, KEPT_CHARACTERS).split('\n').slice(0, -1)
    for (const name of Object.keys(counters)) expect(kept).to.include(`${scrapedName(name)}_total 1234`)
    for (const name of Object.keys(gauges)) expect(kept).to.include(`${scrapedName(name)} 56`)
    for (const code of ['overloaded', 'unknownOutcome', 'targetRefused', 'membership']) expect(kept.filter((line) => line.includes(`{code="${code}"} 1234`))).to.have.length(1)
    expect(kept[0]).to.equal('bulrushvalve_host_info{host="front-milano-b-12"} 1')
  })

  it('leave out counters that are zero, not gauges, and keep all buckets of a histogram', async () => {
    const few = new ScrapedMetrics('h', next)
    few.count('store.relayed', 0)
    few.count('store.calls')
    few.gauge('duty.term', 0)
    few.timing('steps.run', 3)
    const lines = (await few.text()).split('\n')
    expect(lines.slice(0, 3)).to.deep.equal(['bulrushvalve_host_info{host="h"} 1', 'bulrushvalve_duty_term 0', 'bulrushvalve_store_calls_total 1'])
    expect(lines.some((line) => line.includes('store_relayed'))).to.equal(false)
    // Sums over hosts go wrong where one host leaves out a bucket that another has.
    expect(lines.filter((line) => line.includes('_bucket'))).to.have.length(15)
    expect(lines).to.include('# TYPE bulrushvalve_steps_run_milliseconds histogram')
  })
})
