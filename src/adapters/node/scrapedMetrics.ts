/**
 * Counters, gauges and latency histograms in the text form that scrapers read, beside the StatsD way.
 * Collectors of many hosts may keep only the beginning of each text, so what tells causes apart
 * comes first and short: gauges and counters without comments (a scraper takes them as untyped; docs/METRICS.md
 * has their meanings) and with the host's name once. Histograms follow whole: sums over
 * hosts would be wrong if one host left out buckets that another has.
 */

import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { CounterName, GaugeName, TimingName } from '../../base/common/metricNames.ts'
import { counters, gauges, timings } from '../../base/common/metricNames.ts'
import type { Metrics } from '../../ports/common/observation.ts'

/** Upper bounds of a histogram's buckets, in milliseconds: from a look-up in memory to a step that is given up. */
const BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000, 20_000]
/** What ends in a result code or a task's name, and the label that takes it. */
const CODED = /^(completions|orders\.failed|refused|rollouts\.ended|services|front\.refused)\.(\w+)$|^(task)\.([\w-]+)\.failed$/

export class ScrapedMetrics implements Metrics {
  private readonly plainRegistry = new Registry()
  private readonly counterRegistry = new Registry()
  private readonly timingRegistry = new Registry()
  private readonly counters = new Map<string, Counter>()
  private readonly gauges = new Map<string, Gauge>()
  private readonly histograms = new Map<string, Histogram>()

  constructor (host: string, private readonly next: Metrics) {
    const info = new Gauge({ name: scrapedName('host.info'), help: 'name of the host', labelNames: ['host'], registers: [this.plainRegistry] })
    info.set({ host }, 1)
  }

  count (name: CounterName, by = 1): void {
    this.next.count(name, by)
    const coded = name in counters ? null : CODED.exec(name)
    if (coded === null) return this.counter(name, []).inc(by)
    const family = coded[1] ?? coded[3] ?? ''
    this.counter(`${family}.coded`, ['code']).inc({ code: coded[2] ?? coded[4] ?? '' }, by)
  }

  gauge (name: GaugeName, value: number): void {
    this.next.gauge(name, value)
    const known = this.gauges.get(name) ?? new Gauge({ name: scrapedName(name), help: gauges[name], registers: [this.plainRegistry] })
    this.gauges.set(name, known)
    known.set(value)
  }

  timing (name: TimingName, milliseconds: number): void {
    this.next.timing(name, milliseconds)
    const known = this.histograms.get(name) ?? new Histogram({ name: `${scrapedName(name)}_milliseconds`, help: timings[name], buckets: BUCKETS_MS, registers: [this.timingRegistry] })
    this.histograms.set(name, known)
    known.observe(milliseconds)
  }

  /** Everything as text. */
  async text (): Promise<string> {
    const [plain, counted, timed] = await Promise.all([this.plainRegistry, this.counterRegistry, this.timingRegistry].map(async (registry) => await registry.metrics()))
    const lines = [...samples(plain), ...samples(counted).filter((line) => !line.endsWith(' 0'))]
    return `${lines.join('\n')}\n${timed ?? ''}`
  }

  private counter (name: string, labelNames: string[]): Counter {
    const known = this.counters.get(name)
    if (known !== undefined) return known
    const help = (counters as Readonly<Record<string, string>>)[name] ?? 'by result code or task'
    const counter = new Counter({ name: `${scrapedName(name)}_total`, help, labelNames, registers: [this.counterRegistry] })
    this.counters.set(name, counter)
    return counter
  }
}

/** Lines of a text that hold values. */
function samples (text = ''): string[] {
  return text.split('\n').filter((line) => line !== '' && !line.startsWith('#'))
}

/** Name as scrapers allow it. */
export function scrapedName (name: string): string {
  return `bulrushvalve_${name.replace(/\W/g, '_')}`
}
