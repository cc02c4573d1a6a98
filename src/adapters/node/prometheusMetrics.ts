/**
 * Exposes counters, gauges and latency histograms in the Prometheus text format, in addition to StatsD.
 * Collectors of many hosts may keep only the beginning of each text, so the metrics that tell causes
 * apart come first and in a short form: gauges and counters without comments (scrapers treat them as
 * untyped; docs/METRICS.md has their meanings), and the host's name only once. Histograms follow with
 * all their buckets: sums over hosts would be wrong if one host omitted buckets that another has.
 */

import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { CounterName, GaugeName, TimingName } from '../../base/common/metricNames.ts'
import { counters, gauges, timings } from '../../base/common/metricNames.ts'
import type { Metrics } from '../../ports/common/observation.ts'

/** Upper bounds of the histogram buckets: from an in-memory lookup to a step that is given up. */
const BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000, 20_000]
/** Matches metric names that contain a result code or a task name, which becomes the `code` label. */
const CODED_METRIC_PATTERN = /^(completions|orders\.failed|queue\.refused|refused|rollouts\.ended|services|front\.refused)\.(\w+)$|^(task)\.([\w-]+)\.failed$/

export class PrometheusMetrics implements Metrics {
  private readonly gaugeRegistry = new Registry()
  private readonly counterRegistry = new Registry()
  private readonly histogramRegistry = new Registry()
  private readonly counters = new Map<string, Counter>()
  private readonly gauges = new Map<string, Gauge>()
  private readonly histograms = new Map<string, Histogram>()

  constructor (host: string, private readonly delegate: Metrics) {
    const info = new Gauge({ name: prometheusName('host.info'), help: 'name of the host', labelNames: ['host'], registers: [this.gaugeRegistry] })
    info.set({ host }, 1)
  }

  count (name: CounterName, by = 1): void {
    this.delegate.count(name, by)
    const match = name in counters ? null : CODED_METRIC_PATTERN.exec(name)
    if (match === null) return this.getOrCreateCounter(name, []).inc(by)
    const family = match[1] ?? match[3] ?? ''
    this.getOrCreateCounter(`${family}.coded`, ['code']).inc({ code: match[2] ?? match[4] ?? '' }, by)
  }

  gauge (name: GaugeName, value: number): void {
    this.delegate.gauge(name, value)
    const gauge = this.gauges.get(name) ?? new Gauge({ name: prometheusName(name), help: gauges[name], registers: [this.gaugeRegistry] })
    this.gauges.set(name, gauge)
    gauge.set(value)
  }

  timing (name: TimingName, milliseconds: number): void {
    this.delegate.timing(name, milliseconds)
    const histogram = this.histograms.get(name) ?? new Histogram({ name: `${prometheusName(name)}_milliseconds`, help: timings[name], buckets: BUCKETS_MS, registers: [this.histogramRegistry] })
    this.histograms.set(name, histogram)
    histogram.observe(milliseconds)
  }

  /** Returns all metrics in the text format. */
  async text (): Promise<string> {
    const [plain, counted, timed] = await Promise.all([this.gaugeRegistry, this.counterRegistry, this.histogramRegistry].map(async (registry) => await registry.metrics()))
    const lines = [...sampleLines(plain), ...sampleLines(counted).filter((line) => !line.endsWith(' 0'))]
    return `${lines.join('\n')}\n${timed ?? ''}`
  }

  private getOrCreateCounter (name: string, labelNames: string[]): Counter {
    const existing = this.counters.get(name)
    if (existing !== undefined) return existing
    const help = (counters as Readonly<Record<string, string>>)[name] ?? 'by result code or task'
    const counter = new Counter({ name: `${prometheusName(name)}_total`, help, labelNames, registers: [this.counterRegistry] })
    this.counters.set(name, counter)
    return counter
  }
}

/** Returns the lines that contain samples, without comments. */
function sampleLines (text = ''): string[] {
  return text.split('\n').filter((line) => line !== '' && !line.startsWith('#'))
}

/** Converts a metric name to the characters that Prometheus allows. */
export function prometheusName (name: string): string {
  return `bulrushvalve_${name.replace(/\W/g, '_')}`
}
