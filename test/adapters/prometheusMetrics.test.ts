/** Tests counters, gauges and histograms in the text format that scrapers read. */

import { readFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { expect } from 'chai'
import { PrometheusMetrics, prometheusName } from '../../src/adapters/node/prometheusMetrics.ts'
import type { CounterName, GaugeName } from '../../src/base/common/metricNames.ts'
import { counters, gauges } from '../../src/base/common/metricNames.ts'
import type { Metrics } from '../../src/ports/common/observation.ts'

/** Part of a scrape that collectors of many hosts may retain. */
const RETAINED_CHARACTERS = 4096

/** The kinds of hosts, each with the module that composes it. No host counts what only modules of the other kind count. */
const hostKinds = [{ kind: 'routes', composition: 'src/host/node/routedHost.ts' }, { kind: 'pools', composition: 'src/host/node/entryHost.ts' }] as const

/** Returns the counters that the modules which a module imports, directly or not, can count. */
function countersOf (composition: string): CounterName[] {
  const sources = new Map<string, string>()
  const read = (path: string): void => {
    if (sources.has(path)) return
    const source = readFileSync(path, 'utf8')
    sources.set(path, path.endsWith('metricNames.ts') ? '' : source)
    for (const [, imported] of source.matchAll(/^import (?!type ).* from '(\.[^']+)'$/gm)) read(join(dirname(path), imported ?? ''))
  }
  read(composition)
  const text = [...sources.values()].join('\n')
  return (Object.keys(counters) as CounterName[]).filter((name) => text.includes(`'${name}'`))
}

describe('Prometheus metrics', () => {
  const forwarded: string[] = []
  const delegate: Metrics = {
    count: (name, by = 1) => { forwarded.push(`${name} ${by}`) },
    gauge: (name, value) => { forwarded.push(`${name} ${value}`) },
    timing: (name, milliseconds) => { forwarded.push(`${name} ${milliseconds}`) }
  }
  const metrics = new PrometheusMetrics('h', delegate)

  it('are exposed as text and forwarded to the next collector', async () => {
    metrics.count('store.calls')
    metrics.count('store.calls', 2)
    metrics.count('front.refused.overloaded')
    metrics.count('services.answered')
    metrics.gauge('duty.term', 3)
    metrics.timing('calls.answer', 42)
    metrics.timing('calls.answer', 900)
    const lines = (await metrics.text()).split('\n').filter((line) => !line.startsWith('#') && (!line.includes('_bucket') || line.includes('le="50"')))
    expect(lines).toMatchSnapshot()
    expect(forwarded).to.deep.equal(['store.calls 1', 'store.calls 2', 'front.refused.overloaded 1', 'services.answered 1', 'duty.term 3', 'calls.answer 42', 'calls.answer 900'])
  })

  for (const { kind, composition } of hostKinds) {
    it(`contain every gauge and counter of a host that serves ${kind} in the first 4 KB, regardless of the number of timings`, async () => {
      // Guards against lost diagnostics: in an incident on 84 hosts only the first 4 KB of each scrape were retained. They
      // held histograms and comments, and the counters that tell causes apart were cut off.
      const full = new PrometheusMetrics('front-milano-b-12', delegate)
      for (const name of ['calls.answer', 'completions.time', 'services.time', 'steps.accept', 'steps.run'] as const) for (let tookMs = 1; tookMs < 30_000; tookMs *= 2) full.timing(name, tookMs)
      const coded = ['front.refused.overloaded', 'completions.unknownOutcome', 'services.targetRefused', 'task.membership.failed'] as const
      const counted = countersOf(composition)
      for (const name of [...counted, ...coded]) full.count(name, 1234)
      for (const name of Object.keys(gauges) as GaugeName[]) full.gauge(name, 56)
      const text = await full.text()
      const retainedLines = text.slice(0, RETAINED_CHARACTERS).split('\n').slice(0, -1)
      for (const name of counted) expect(retainedLines).to.include(`${prometheusName(name)}_total 1234`)
      for (const name of Object.keys(gauges)) expect(retainedLines).to.include(`${prometheusName(name)} 56`)
      for (const code of ['overloaded', 'unknownOutcome', 'targetRefused', 'membership']) expect(retainedLines.filter((line) => line.includes(`{code="${code}"} 1234`))).to.have.length(1)
      expect(retainedLines[0]).to.equal('bulrushvalve_host_info{host="front-milano-b-12"} 1')
    })
  }

  it('are all of one kind of host or the other', () => {
    // Guards against a counter that the check above leaves out.
    expect([...new Set(hostKinds.flatMap(({ composition }) => countersOf(composition)))].sort()).to.deep.equal(Object.keys(counters).sort())
  })

  it('omit counters that are zero, but no gauges and no buckets of a histogram', async () => {
    const sparse = new PrometheusMetrics('h', delegate)
    sparse.count('store.relayed', 0)
    sparse.count('store.calls')
    sparse.gauge('duty.term', 0)
    sparse.timing('steps.run', 3)
    const lines = (await sparse.text()).split('\n')
    expect(lines.slice(0, 3)).to.deep.equal(['bulrushvalve_host_info{host="h"} 1', 'bulrushvalve_duty_term 0', 'bulrushvalve_store_calls_total 1'])
    expect(lines.some((line) => line.includes('store_relayed'))).to.equal(false)
    // Sums over hosts would be wrong if one host omitted a bucket that another has.
    expect(lines.filter((line) => line.includes('_bucket'))).to.have.length(15)
    expect(lines).to.include('# TYPE bulrushvalve_steps_run_milliseconds histogram')
  })
})
