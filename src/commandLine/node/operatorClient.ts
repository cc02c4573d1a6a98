/** Implements `query` and `order`: sends a statement to a host and formats the answer. */

import { Client } from 'undici'
import { createConnector, isNeverSent } from '../../adapters/node/connectionPools.ts'
import type { FailureBody, Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'
import type { CommandAnswer, RowsAnswer } from '../../actors/common/operators/operatorService.ts'
import type { Row } from '../../core/common/language/rows.ts'

export interface OperatorRequest {
  /** Hosts to try in order, until one answers. */
  readonly hosts: readonly string[]
  readonly key: string
  readonly statement: string
  readonly id?: string
  readonly wait: boolean
  readonly timeoutMs: number
}

/** An answer, or an error response from a host. */
export type OperatorOutcome =
  | { readonly type: 'answer', readonly answer: RowsAnswer | CommandAnswer }
  | { readonly type: 'refused', readonly error: FailureBody['error'] }

/**
 * Sends a statement. A command carries an id, so that sending it to a second host does not execute it twice. The result is
 * `targetUnreachable` only if no host can have executed the statement.
 */
export async function sendStatement (request: OperatorRequest): Promise<Result<OperatorOutcome>> {
  let lastFailure = failure('targetUnreachable', 'no host address was given')
  for (const host of request.hosts) {
    const outcome = await sendToHost(host, request)
    if (outcome.ok) return outcome
    if (lastFailure.code !== 'unknownOutcome') lastFailure = outcome
  }
  return lastFailure
}

async function sendToHost (host: string, request: OperatorRequest): Promise<Result<OperatorOutcome>> {
  const client = new Client(host, { connect: createConnector(request.timeoutMs) })
  try {
    const answer = await client.request({
      method: 'POST',
      path: '/v1/command',
      headers: { 'content-type': 'application/json', authorization: `Bearer ${request.key}` },
      body: JSON.stringify({ statement: request.statement, wait: request.wait, ...(request.id === undefined ? {} : { id: request.id }) }),
      signal: AbortSignal.timeout(request.timeoutMs)
    })
    const body = await answer.body.json()
    return success(answer.statusCode === 200
      ? { type: 'answer', answer: body as RowsAnswer | CommandAnswer }
      : { type: 'refused', error: (body as FailureBody).error })
  } catch (error) {
    const message = `${host}: ${(error as Error).message}`
    if (isNeverSent(error)) return failure('targetUnreachable', message)
    return failure('unknownOutcome', request.id === undefined ? message : `${message}; to retry, use the same id ${request.id}`)
  } finally {
    client.destroy().catch(() => undefined)
  }
}

/** Formats rows as a table with aligned columns. */
export function formatTable (rows: readonly Row[]): string {
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))]
  if (columns.length === 0) return '(no rows)'
  const cells = rows.map((row) => columns.map((column) => String(row[column] ?? '-')))
  const widths = columns.map((column, index) => Math.max(column.length, ...cells.map((line) => line[index]?.length ?? 0)))
  const format = (line: readonly string[]): string => line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  ').trimEnd()
  return [format(columns), ...cells.map(format)].join('\n')
}

/** Formats an answer as human-readable text. */
export function formatAnswer (answer: RowsAnswer | CommandAnswer): string {
  if (answer.type === 'accepted') {
    const confirmedNote = answer.confirmed === undefined ? '' : `\nin force on ${answer.confirmed.length} hosts`
    const unconfirmedNote = answer.unconfirmed === undefined || answer.unconfirmed.length === 0 ? '' : `\nnot confirmed by: ${answer.unconfirmed.join(', ')}`
    return `accepted, revision ${answer.revision} (id ${answer.id})${confirmedNote}${unconfirmedNote}`
  }
  const unansweredNote = answer.silent.length === 0 ? '' : `\nno reply from: ${answer.silent.join(', ')}`
  const offsets = answer.sources.map(({ offset }) => offset)
  const lowest = Math.min(...offsets)
  const highest = Math.max(...offsets)
  const offsetRange = lowest === highest ? `offset ${highest}` : `offsets ${lowest} to ${highest}`
  return `${formatTable(answer.rows)}\n(${answer.rows.length} rows from ${answer.sources.length} hosts at ${offsetRange})${unansweredNote}`
}

/** Formats an error response, with a marker under the column of a syntax error. */
export function formatError (error: FailureBody['error'], statement: string): string {
  const columnMarker = error.column === undefined ? '' : `\n  ${statement}\n  ${' '.repeat(error.column - 1)}^ column ${error.column}`
  const revisionNote = error.revision === undefined ? '' : ` (revision ${error.revision})`
  const retryHint = error.retry_after_ms === undefined ? '' : `; retry after ${error.retry_after_ms} ms`
  return `${error.number} ${error.code} [${error.effect}]: ${error.message}${revisionNote}${retryHint}${columnMarker}`
}
