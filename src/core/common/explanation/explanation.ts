/**
 * The timeline of a request, an item or a step from the log lines of several hosts. It consists of the
 * lines that mention the id, the lines about what these mention (the step of an item, the targets that
 * were tried), and the status changes that the involved hosts logged in the meantime. Lines about
 * hosts, targets, topics and models that were not involved are left out.
 */

export interface LogLine {
  /** Milliseconds since the Unix epoch by the clock of the host that wrote the line; clocks of hosts differ slightly. */
  readonly time: number
  readonly host: string
  readonly type: string
  readonly what: string
  readonly details: Readonly<Record<string, unknown>>
}

/** Status changes are included up to this time before and after the lines about an id. It is the longest outage that a request encounters. */
const CONTEXT_WINDOW_MS = 3000

/** Returns the lines that explain what happened to an id, ordered by time. */
export function explain (lines: readonly LogLine[], id: string): LogLine[] {
  const direct = lines.filter((line) => mentions(line, id))
  if (direct.length === 0) return []
  const steps = new Set(direct.flatMap(({ details }) => typeof details.step === 'string' ? [details.step] : []))
  const stepLines = lines.filter(({ what, details }) => typeof details.step === 'string' && steps.has(details.step) && details.item === undefined && what.startsWith('step'))
  // A request is held back because of ends of targets that other hosts reported for its repeats.
  const fingerprints = collectDetail(new Set(direct), 'fingerprint')
  const repeatLines = lines.filter((line) => [...fingerprints].some((fingerprint) => mentions(line, fingerprint)))
  const recordLines = lines.filter((line) => [id, ...steps].some((named) => keyMentions(line, named)))
  const timeline = new Set([...direct, ...stepLines, ...repeatLines, ...recordLines])
  const related: RelatedNames = {
    targets: new Set([...timeline].flatMap(mentionedTargets)),
    hosts: new Set([...timeline].map(({ host }) => host)),
    topics: collectDetail(timeline, 'topic'),
    models: collectDetail(timeline, 'model')
  }
  const from = Math.min(...[...timeline].map(({ time }) => time)) - CONTEXT_WINDOW_MS
  const until = Math.max(...[...timeline].map(({ time }) => time)) + CONTEXT_WINDOW_MS
  for (const line of lines) {
    if (line.time < from || line.time > until || line.type === 'decided') continue
    if (related.hosts.has(line.host) && isRelated(line, related)) timeline.add(line)
  }
  return [...timeline].sort((a, b) => a.time - b.time)
}

/** Names that occur in the lines about an id. */
interface RelatedNames {
  readonly targets: ReadonlySet<string>
  readonly hosts: ReadonlySet<string>
  readonly topics: ReadonlySet<string>
  readonly models: ReadonlySet<string>
}

/** Whether a status change concerns something that is related to the id. If no line names a topic or a model, any may be related. */
function isRelated ({ what, details }: LogLine, { targets, hosts, topics, models }: RelatedNames): boolean {
  if (what === 'hosts known') return false
  if (typeof details.target === 'string') return targets.has(details.target)
  if (typeof details.member === 'string') return hosts.has(details.member)
  if (typeof details.model === 'string') return models.size === 0 || models.has(details.model)
  // An outage of the store is kept for every topic, as the records of one item are spread over several topics.
  if (what === 'topic loaded' && typeof details.topic === 'string') return topics.size === 0 || topics.has(details.topic)
  return true
}

function collectDetail (lines: ReadonlySet<LogLine>, detail: string): Set<string> {
  return new Set([...lines].map(({ details }) => details[detail]).filter((name): name is string => typeof name === 'string' && name !== ''))
}

/** Whether a line refers to a record with this id in its key. */
function keyMentions ({ details }: LogLine, id: string): boolean {
  return typeof details.key === 'string' && details.key.split('/').includes(encodeURIComponent(id))
}

function mentions ({ details }: LogLine, id: string): boolean {
  return Object.values(details).includes(id) || [details.requests, details.fingerprints].some((list) => typeof list === 'string' && list.split(' ').includes(id))
}

/** Returns the targets that a line mentions, including those of attempts. */
function mentionedTargets ({ details }: LogLine): string[] {
  const attemptedTargets = typeof details.attempts === 'string' ? details.attempts.split(' ').map((attempt) => attempt.split(':')[0] ?? '') : []
  return [details.target, details.engine, ...attemptedTargets].filter((name): name is string => typeof name === 'string' && name !== '')
}

/** Formats a timeline as text, one log line per line, with the time since the first one. */
export function formatTimeline (timeline: readonly LogLine[]): string {
  const first = timeline[0]?.time ?? 0
  return timeline.map(({ time, host, type, what, details }) => {
    const formattedDetails = Object.entries(details).filter(([, value]) => value !== '').map(([name, value]) => `${name}=${String(value)}`).join(' ')
    const mark = type === 'alarm' ? '!' : type === 'changed' ? '~' : ' '
    return `${((time - first) / 1000).toFixed(3).padStart(9)} s ${mark} ${host.padEnd(28)} ${what}: ${formattedDetails}`
  }).join('\n')
}
