/** Client for streamed completions. */

import { createParser } from 'eventsource-parser'
import { request } from 'undici'
import type { Segment } from '../../src/core/common/fold/records.ts'
import { keys } from './hostProcess.ts'

export interface StreamOutcome {
  readonly status: number
  readonly text: string
  readonly whole: boolean
  readonly segments: readonly Segment[]
  readonly error?: { readonly number: number, readonly effect: string, readonly code: string }
  /** Number of comment lines, which are sent to keep the connection alive. */
  readonly heartbeats: number
}

export interface StreamOptions {
  readonly key?: string
  readonly body: Record<string, unknown>
  readonly lane?: string
  readonly onText?: (text: string) => void
}

/** Streams a completion to its end. If the connection breaks, `whole` is `false`. */
export async function streamCompletion (address: string, { key = keys.caller, body, lane = 'desk', onText }: StreamOptions): Promise<StreamOutcome> {
  const answer = await request(`${address}/v1/lanes/${lane}/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
    body: JSON.stringify({ stream: true, ...body }),
    signal: AbortSignal.timeout(30_000)
  })
  const outcome = { status: answer.statusCode, text: '', whole: false, segments: [] as Segment[], heartbeats: 0 } as { -readonly [Key in keyof StreamOutcome]: StreamOutcome[Key] }
  if (answer.statusCode !== 200) {
    outcome.error = (await answer.body.json() as { error: NonNullable<StreamOutcome['error']> }).error
    return outcome
  }
  const parser = createParser({
    onComment: () => { outcome.heartbeats++ },
    onEvent: ({ event, data }) => {
      const parsed = JSON.parse(data) as Record<string, unknown>
      if (event === 'complete') {
        outcome.whole = parsed.whole === true
        outcome.segments = parsed.segments as Segment[]
      } else if (event === 'error') {
        outcome.error = parsed.error as NonNullable<StreamOutcome['error']>
      } else {
        const { text } = (parsed.choices as { text: string }[])[0] ?? { text: '' }
        outcome.text += text
        onText?.(text)
      }
    }
  })
  try {
    for await (const chunk of answer.body) parser.feed((chunk as Buffer).toString())
  } catch {
    outcome.whole = false
  }
  return outcome
}
