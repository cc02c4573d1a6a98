/**
 * The story of a request, an item or a step from the log lines of several hosts: the lines that
 * name it, those of what they name (the step of an item, the targets that were tried), and what the
 * hosts concerned believed changed meanwhile, without what is about hosts, targets, topics and models
 * that had no part in it.
 */

export interface LogLine {
  /** Milliseconds since the epoch by the writing host's clock; hosts differ a little. */
  readonly time: number
  readonly host: string
  readonly type: string
  readonly what: string
  readonly details: Readonly<Record<string, unknown>>
}

/** How long before and after the lines about an id changes of belief still matter, in milliseconds: the longest outage that a request meets. */
const AROUND_MS = 3000

/** Lines that tell what became of an id, in the order of their times. */
export function explain (lines: readonly LogLine[], id: string): LogLine[] {
  const own = lines.filter((line) => names(line, id))
  if (own.length === 0) return []
  const steps = new Set(own.flatMap(({ details }) => typeof details.step === 'string' ? [details.step] : []))
  const ofSteps = lines.filter(({ what, details }) => typeof details.step === 'string' && steps.has(details.step) && details.item === undefined && what.startsWith('step'))
  // A request that is held back is so for what other hosts saw of its repeats.
  const fingerprints = namesOf(new Set(own), 'fingerprint')
  const ofRepeats = lines.filter((line) => [...fingerprints].some((fingerprint) => names(line, fingerprint)))
  const ofRecords = lines.filter((line) => [id, ...steps].some((named) => namesInKey(line, named)))
  const story = new Set([...own, ...ofSteps, ...ofRepeats, ...ofRecords])
  const parts: Parts = {
    targets: new Set([...story].flatMap(targetsIn)),
    hosts: new Set([...story].map(({ host }) => host)),
    topics: namesOf(story, 'topic'),
    models: namesOf(story, 'model')
  }
  const from = Math.min(...[...story].map(({ time }) => time)) - AROUND_MS
  const until = Math.max(...[...story].map(({ time }) => time)) + AROUND_MS
  for (const line of lines) {
    if (line.time < from || line.time > until || line.type === 'decided') continue
    if (parts.hosts.has(line.host) && hadPart(line, parts)) story.add(line)
  }
  return [...story].sort((a, b) => a.time - b.time)
}

/** What the lines about an id name. */
interface Parts {
  readonly targets: ReadonlySet<string>
  readonly hosts: ReadonlySet<string>
  readonly topics: ReadonlySet<string>
  readonly models: ReadonlySet<string>
}

/** Whether a change of belief is about something that had a part; where no line names a topic or a model, any may have had one. */
function hadPart ({ what, details }: LogLine, { targets, hosts, topics, models }: Parts): boolean {
  if (what === 'hosts known') return false
  if (typeof details.target === 'string') return targets.has(details.target)
  if (typeof details.member === 'string') return hosts.has(details.member)
  if (typeof details.model === 'string') return models.size === 0 || models.has(details.model)
  // An outage of the store is kept whatever its topic: the records of one item are in several.
  if (what === 'topic loaded' && typeof details.topic === 'string') return topics.size === 0 || topics.has(details.topic)
  return true
}

function namesOf (story: ReadonlySet<LogLine>, detail: string): Set<string> {
  return new Set([...story].map(({ details }) => details[detail]).filter((name): name is string => typeof name === 'string' && name !== ''))
}

/** Whether a line tells of a record with this id in its key. */
function namesInKey ({ details }: LogLine, id: string): boolean {
  return typeof details.key === 'string' && details.key.split('/').includes(encodeURIComponent(id))
}

function names ({ details }: LogLine, id: string): boolean {
  return Object.values(details).includes(id) || [details.requests, details.fingerprints].some((list) => typeof list === 'string' && list.split(' ').includes(id))
}

/** Targets that a line names, tried ones among them. */
function targetsIn ({ details }: LogLine): string[] {
  const tried = typeof details.attempts === 'string' ? details.attempts.split(' ').map((attempt) => attempt.split(':')[0] ?? '') : []
  return [details.target, details.engine, ...tried].filter((name): name is string => typeof name === 'string' && name !== '')
}

/** Writes a story, one line each, with the time since its first line. */
export function formatStory (story: readonly LogLine[]): string {
  const first = story[0]?.time ?? 0
  return story.map(({ time, host, type, what, details }) => {
    const told = Object.entries(details).filter(([, value]) => value !== '').map(([name, value]) => `${name}=${String(value)}`).join(' ')
    const mark = type === 'alarm' ? '!' : type === 'changed' ? '~' : ' '
    return `${((time - first) / 1000).toFixed(3).padStart(9)} s ${mark} ${host.padEnd(28)} ${what}: ${told}`
  }).join('\n')
}
