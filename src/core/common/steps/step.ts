/** Steps of trainers: what is submitted and what comes out. */

import type { WorkspaceName } from '../../../base/common/ids.ts'

/** Call that scores a finished sample; it goes through the routes. */
export interface ScorerCall {
  readonly requestId: string
  readonly host: string
  readonly path: string
  /** Base64. */
  readonly body: string
}

/** What every host keeps of an item. */
export interface StepItem {
  readonly id: string
  /** Prompt tokens and most output tokens together. */
  readonly tokens: number
  /** Output tokens that the trainer expects. */
  readonly expectedTokens: number
  readonly group: string
  /** Id of the scorer's request; `undefined` where nothing is scored. */
  readonly scoredBy: string | undefined
}

/** What only the run of an item needs. It is most of a submission, so hosts read it when they need it. */
export interface ItemPayload {
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  /** Base64. */
  readonly body: string
  readonly scorer: ScorerCall | undefined
}

/** An item as its trainer submits it. */
export interface SubmittedItem extends StepItem, ItemPayload {}

export interface StepSubmission {
  readonly id: string
  readonly host: string
  readonly path: string
  readonly number: number
  readonly model: string
  /** Workspace whose trainer submitted it; absent where trainers need no key. */
  readonly workspace?: WorkspaceName | undefined
  /** Oldest version of the weights that may generate its tokens. */
  readonly minimumVersion: number
  /** Complete groups that the trainer waits for. */
  readonly wantedGroups: number
  readonly items: readonly StepItem[]
}

/** A submission as its trainer sends it. */
export interface TrainerSubmission extends StepSubmission {
  readonly items: readonly SubmittedItem[]
}

/** A result as every host keeps it. */
export interface ListedResult {
  readonly item: string
  readonly state: 'complete' | 'lost'
  /** Versions that generated some part of the text. */
  readonly versions: readonly number[]
  /** Signature of the scorer's answer. */
  readonly score: string | undefined
  /** Key under which the text is kept; `undefined` where there is none. */
  readonly textKey: string | undefined
  /** Where it stands in its topic. */
  readonly textAt?: ContentPlace | undefined
  /** Address of the host that wrote it, for other hosts. */
  readonly textFrom?: string | undefined
}

/** Where records of contents stand in their topic: whoever wants them reads just these, as long as the store has its history. */
export interface ContentPlace {
  readonly offset: number
  /** Characters of the records' values together. */
  readonly characters: number
}

/** A result as its trainer reads it. */
export interface SampleResult extends Omit<ListedResult, 'textKey' | 'textAt' | 'textFrom'> {
  readonly text: string
}
