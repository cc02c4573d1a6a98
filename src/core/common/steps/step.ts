/** Steps of trainers: what is submitted and what comes out. */

/** Call that scores a finished sample; it goes through the routes. */
export interface ScorerCall {
  readonly requestId: string
  readonly host: string
  readonly path: string
  /** Base64. */
  readonly body: string
}

export interface StepItem {
  readonly id: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  /** Base64. */
  readonly body: string
  /** Prompt tokens and most output tokens together. */
  readonly tokens: number
  /** Output tokens that the trainer expects. */
  readonly expectedTokens: number
  readonly group: string
  readonly scorer: ScorerCall | undefined
}

export interface StepSubmission {
  readonly id: string
  readonly host: string
  readonly path: string
  readonly number: number
  readonly model: string
  /** Oldest version of the weights that may generate its tokens. */
  readonly minimumVersion: number
  /** Complete groups that the trainer waits for. */
  readonly wantedGroups: number
  readonly items: readonly StepItem[]
}

export interface SampleResult {
  readonly item: string
  readonly state: 'complete' | 'lost'
  readonly text: string
  /** Versions that generated some part of the text. */
  readonly versions: readonly number[]
  /** Signature of the scorer's answer. */
  readonly score: string | undefined
}
