/** What `query` and `order` do: send a statement to a host and print the answer. */

import { Client } from 'undici'
import { connector, neverSent } from '../../adapters/node/connections.ts'
import type { FailureBody, Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'
import type { CommandAnswer, RowsAnswer } from '../../actors/common/operators/operatorService.ts'
import type { Row } from '../../core/common/language/rows.ts'

export interface OperatorCall {
  /** Hosts to ask; the next is asked when one cannot be reached. */
  readonly hosts: readonly string[]
  readonly key: string
  readonly statement: string
  readonly id?: string
  readonly wait: boolean
  readonly timeoutMs: number
}

/** An answer, or the failure that a host sent, as it was sent. */
export type OperatorOutcome =
  | { readonly type: 'answer', readonly answer: RowsAnswer | CommandAnswer }
  | { readonly type: 'refused', readonly error: FailureBody['error'] }

/**
 * Sends a statement. A command carries an id, so that asking a second host does not repeat it. The failure is `targetUnreachable` only
 * where no host can have run it.
 */
export async function sendStatement (call: OperatorCall): Promise<Result<OperatorOutcome>> {
  let last = failure('targetUnreachable', 'no host was given')
  for (const host of call.hosts) {
    const outcome = await sendTo(host, call)
    if (outcome.ok) return outcome
    if (last.code !== 'unknownOutcome') last = outcome
  }
  return last
}

async function sendTo (host: string, call: OperatorCall): Promise<Result<OperatorOutcome>> {
  const client = new Client(host, { connect: connector(call.timeoutMs) })
  try {
    const answer = await client.request({
      method: 'POST',
      path: '/v1/command',
      headers: { 'content-type': 'application/json', authorization: `Bearer ${call.key}` },
      body: JSON.stringify({ statement: call.statement, wait: call.wait, ...(call.id === undefined ? {} : { id: call.id }) }),
      signal: AbortSignal.timeout(call.timeoutMs)
    })
    const body = await answer.body.json()
    return success(answer.statusCode === 200
      ? { type: 'answer', answer: body as RowsAnswer | CommandAnswer }
      : { type: 'refused', error: (body as FailureBody).error })
  } catch (error) {
    const message = `${host}: ${(error as Error).message}`
    if (neverSent(error)) return failure('targetUnreachable', message)
    return failure('unknownOutcome', call.id === undefined ? message : `${message}; repeat it with the id ${call.id}`)
  } finally {
    client.destroy().catch(() => undefined)
  }
}

/** Writes rows as a table with aligned columns. */
export function formatTable (rows: readonly Row[]): string {
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))]
  if (columns.length === 0) return '(nothing)'
  const cells = rows.map((row) => columns.map((column) => String(row[column] ?? '-')))
  const widths = columns.map((column, index) => Math.max(column.length, ...cells.map((line) => line[index]?.length ?? 0)))
  const format = (line: readonly string[]): string => line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  ').trimEnd()
  return [format(columns), ...cells.map(format)].join('\n')
}

/** Writes an answer for people. */
export function formatAnswer (answer: RowsAnswer | CommandAnswer): string {
  if (answer.type === 'accepted') {
    const confirmed = answer.confirmed === undefined ? '' : `\nin force on ${answer.confirmed.length} hosts`
    const unconfirmed = answer.unconfirmed === undefined || answer.unconfirmed.length === 0 ? '' : `\nnot confirmed by: ${answer.unconfirmed.join(', ')}`
    return `accepted, revision ${answer.revision} (id ${answer.id})${confirmed}${unconfirmed}`
  }
  const silent = answer.silent.length === 0 ? '' : `\nno reply from: ${answer.silent.join(', ')}`
  const offsets = answer.sources.map(({ offset }) => offset)
  const lowest = Math.min(...offsets)
  const highest = Math.max(...offsets)
  const age = lowest === highest ? `offset ${highest}` : `offsets ${lowest} to ${highest}`
  return `${formatTable(answer.rows)}\n(${answer.rows.length} rows from ${answer.sources.length} hosts at ${age})${silent}`
}

/** Writes a refusal, with a mark under the column of a syntax error. */
export function formatRefusal (error: FailureBody['error'], statement: string): string {
  const mark = error.column === undefined ? '' : `\n  ${statement}\n  ${' '.repeat(error.column - 1)}^ column ${error.column}`
  const revision = error.revision === undefined ? '' : ` (revision ${error.revision})`
  const again = error.retry_after_ms === undefined ? '' : `; come back in ${error.retry_after_ms} ms`
  return `${error.number} ${error.code} [${error.effect}]: ${error.message}${revision}${again}${mark}`
}
