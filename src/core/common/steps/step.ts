/** Data types of trainers' steps: submissions and their results. */

import type { WorkspaceName } from '../../../base/common/ids.ts'

/** Request that scores a finished sample. It is sent through the routes. */
export interface ScorerCall {
  readonly requestId: string
  readonly host: string
  readonly path: string
  /** Base64-encoded. */
  readonly body: string
}

/** The part of an item that every host keeps. */
export interface StepItem {
  readonly id: string
  /** Prompt tokens plus the maximum number of output tokens. */
  readonly tokens: number
  /** Number of output tokens that the trainer expects. */
  readonly expectedTokens: number
  readonly group: string
  /** Id of the scorer's request; `undefined` if the item is not scored. */
  readonly scoredBy: string | undefined
}

/** The part of an item that only its run needs. It makes up most of a submission, so hosts read it on demand. */
export interface ItemPayload {
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  /** Base64-encoded. */
  readonly body: string
  readonly scorer: ScorerCall | undefined
}

/** An item as its trainer submits it. */
export interface SubmittedItem extends StepItem, ItemPayload {}

/** A submission without the payloads of its items. */
export interface StepSubmission {
  readonly id: string
  readonly host: string
  readonly path: string
  readonly number: number
  readonly model: string
  /** Workspace whose trainer submitted the step; absent if trainers need no key. */
  readonly workspace?: WorkspaceName | undefined
  /** Oldest version of the weights that may generate tokens of the step. */
  readonly minimumVersion: number
  /** Number of complete groups that the trainer waits for. */
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
  /** Versions of the weights that generated any part of the text. */
  readonly versions: readonly number[]
  /** Signature of the scorer's response. */
  readonly score: string | undefined
  /** Key of the record that holds the text; `undefined` if there is none. */
  readonly textKey: string | undefined
  /** Location of the text in its topic. */
  readonly textAt?: ContentLocation | undefined
  /** Address of the host that wrote the text, from which other hosts can read it. */
  readonly textFrom?: string | undefined
}

/** Location of content records in their topic. Readers fetch only these records for as long as the store retains its history. */
export interface ContentLocation {
  readonly offset: number
  /** Total number of characters in the values of the records. */
  readonly characters: number
}

/** A result as its trainer reads it, including the text. */
export interface SampleResult extends Omit<ListedResult, 'textKey' | 'textAt' | 'textFrom'> {
  readonly text: string
}
