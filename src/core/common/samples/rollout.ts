/**
 * One rollout on its way: the text so far, and which weight version produced which tokens. It
 * outlives the stream that feeds it, so that a preempted or broken rollout goes on elsewhere from
 * where it stood, and every token keeps the version that truly produced it.
 */

import type { Segment } from '../fold/records.ts'

/** Part of a stream, in the engine's own words. */
export interface RolloutPart {
  readonly text: string
  readonly tokens: number
  /** Version that produced these tokens, as the engine reports it with them. */
  readonly version: number
}

export class RolloutProgress {
  private readonly texts: string[] = []
  private readonly runs: { version: number, from: number, to: number }[] = []
  private count = 0

  get tokens (): number {
    return this.count
  }

  get text (): string {
    return this.texts.join('')
  }

  get segments (): Segment[] {
    return this.runs.map((run) => ({ ...run }))
  }

  /** Version of the oldest token; undefined before the first. */
  get oldest (): number | undefined {
    return this.runs.length === 0 ? undefined : Math.min(...this.runs.map((run) => run.version))
  }

  add (part: RolloutPart): void {
    if (part.tokens === 0) return
    this.texts.push(part.text)
    const last = this.runs.at(-1)
    if (last !== undefined && last.version === part.version) last.to += part.tokens
    else this.runs.push({ version: part.version, from: this.count, to: this.count + part.tokens })
    this.count += part.tokens
  }
}
