/**
 * Progress of a rollout: the text generated so far, and which weight version produced which tokens.
 * It outlives the stream that feeds it, so a preempted or interrupted rollout can resume at another
 * target, and every token keeps the version that actually produced it.
 */

import type { Segment } from '../fold/records.ts'

/** A part of a stream, as reported by the engine. */
export interface RolloutPart {
  readonly text: string
  readonly tokens: number
  /** Weight version that produced these tokens, as reported with them. */
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

  /** The lowest weight version among the tokens; undefined before the first token. */
  get oldestVersion (): number | undefined {
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
