/** Parses the targets of requests, which clients may fill with any text. */

import type { Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'

export interface RequestTarget {
  /** Path as sent, without the query. */
  readonly path: string
  readonly query: URLSearchParams
  /** Path and query as sent. */
  readonly pathAndQuery: string
}

const ABSOLUTE_FORM_PATTERN = /^https?:\/\/[^/?#]+(?<pathAndQuery>.*)$/i

/** Parses a target in origin form, such as `/path?query`, or in absolute form, such as `http://host/path?query`. */
export function parseRequestTarget (target: string | undefined): Result<RequestTarget> {
  const pathAndQuery = originForm(target ?? '')
  if (pathAndQuery === undefined) return failure('malformed', 'the target of the request is not a path')
  const queryIndex = pathAndQuery.indexOf('?')
  if (queryIndex < 0) return success({ path: pathAndQuery, query: new URLSearchParams(), pathAndQuery })
  return success({ path: pathAndQuery.slice(0, queryIndex), query: new URLSearchParams(pathAndQuery.slice(queryIndex + 1)), pathAndQuery })
}

function originForm (target: string): string | undefined {
  if (target.startsWith('/')) return target
  const pathAndQuery = ABSOLUTE_FORM_PATTERN.exec(target)?.groups?.['pathAndQuery']
  return pathAndQuery === undefined || pathAndQuery.startsWith('/') ? pathAndQuery : `/${pathAndQuery}`
}
