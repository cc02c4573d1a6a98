/** Factories for submissions of steps. */

import type { SubmittedItem, TrainerSubmission } from '../../src/core/common/steps/step.ts'

export function newItem (id: string, group: string, expectedTokens = 100, scorer?: string): SubmittedItem {
  return { id, path: `/items/${id}`, headers: {}, body: btoa(`prompt of ${id}`), tokens: 500, expectedTokens, group, scoredBy: scorer, scorer: scorer === undefined ? undefined : { requestId: scorer, host: 'calls.example', path: '/score', body: '' } }
}

export function newSubmission (id: string, items: readonly SubmittedItem[], details: Partial<TrainerSubmission> = {}): TrainerSubmission {
  return { id, host: 'steps.example', path: '/steps/x', number: 0, model: 'm', minimumVersion: 1, wantedGroups: 2, items, ...details }
}
