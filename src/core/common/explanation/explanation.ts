/**
 * The story of a request, an item or a step from the log lines of several hosts: the lines that
 * name it, those of what they name (the step of an item, the targets that were tried), and what the
 * hosts concerned believed changed meanwhile.
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
  const story = new Set([...own, ...ofSteps])
  const targets = new Set([...story].flatMap(targetsIn))
  const hosts = new Set([...story].map(({ host }) => host))
  const from = Math.min(...[...story].map(({ time }) => time)) - AROUND_MS
  const until = Math.max(...[...story].map(({ time }) => time)) + AROUND_MS
  for (const line of lines) {
    if (line.time < from || line.time > until || line.type === 'decided') continue
    const aboutTarget = typeof line.details.target === 'string' && targets.has(line.details.target)
    if (hosts.has(line.host) && (aboutTarget || line.details.target === undefined)) story.add(line)
  }
  return [...story].sort((a, b) => a.time - b.time)
}

function names (line: LogLine, id: string): boolean {
  return Object.values(line.details).includes(id)
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
