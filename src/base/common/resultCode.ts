/**
 * Numbered result codes. Every refusal or failure that leaves the process carries one of these
 * numbers, so that callers, operators and alarms refer to failures in the same way. docs/RESULT-CODES.md
 * is generated from this table; a test checks that both match.
 *
 * The thousands group the codes by what the receiver may conclude:
 * 1xxx not run, 2xxx unknown outcome, 3xxx invalid input, 4xxx conflict, 5xxx authentication and authorization.
 */

/** What a receiver may conclude about the effect of its request. */
export type Effect = 'not-run' | 'unknown-outcome' | 'rejected'

interface CodeEntry {
  readonly number: number
  readonly status: number
  readonly effect: Effect
  readonly meaning: string
}

const codeTable = {
  overloaded: { number: 1001, status: 503, effect: 'not-run', meaning: 'Waiting for a free slot would exceed the deadline, or the queue is full.' },
  noTarget: { number: 1002, status: 503, effect: 'not-run', meaning: 'No live target currently serves this pool or service.' },
  targetRefused: { number: 1003, status: 503, effect: 'not-run', meaning: 'The target refused the request before running it.' },
  targetUnreachable: { number: 1004, status: 503, effect: 'not-run', meaning: 'No connection to the target could be opened; no byte was sent.' },
  logUnavailable: { number: 1005, status: 503, effect: 'not-run', meaning: 'The platform log did not accept a record that must be written before the work starts.' },
  stale: { number: 1006, status: 503, effect: 'not-run', meaning: 'The configuration of this host may be outdated; it accepts no new work.' },
  leaving: { number: 1007, status: 503, effect: 'not-run', meaning: 'This host is shutting down.' },
  deadlineExceeded: { number: 1008, status: 504, effect: 'not-run', meaning: 'The deadline passed before anything was sent to a target.' },
  callerLimit: { number: 1009, status: 429, effect: 'not-run', meaning: 'The caller already has as many requests in flight as its limit allows.' },
  tooManyConnections: { number: 1010, status: 503, effect: 'not-run', meaning: 'This host has as many open requests as its settings allow.' },
  repeatLater: { number: 1011, status: 409, effect: 'not-run', meaning: 'The outcome of an earlier attempt with this id is being determined; this attempt did not run.' },
  requestHeld: { number: 1012, status: 503, effect: 'not-run', meaning: 'Targets crashed while they ran this request; it is quarantined to protect the other targets.' },

  unknownOutcome: { number: 2001, status: 502, effect: 'unknown-outcome', meaning: 'The request was sent to a target, but no complete response was received.' },
  requestExpired: { number: 2002, status: 410, effect: 'unknown-outcome', meaning: 'The id is older than the claim window; it is no longer recorded whether the request ran.' },
  inProgress: { number: 2003, status: 409, effect: 'unknown-outcome', meaning: 'Another attempt with this id holds the claim and has not reported an outcome.' },
  cancelled: { number: 2004, status: 499, effect: 'unknown-outcome', meaning: 'The caller cancelled the request after it was sent to a target.' },
  commandUnknown: { number: 2005, status: 504, effect: 'unknown-outcome', meaning: 'The log did not respond; the command may still take effect. Repeat it with the same id.' },

  malformed: { number: 3001, status: 400, effect: 'rejected', meaning: 'The request does not have the form that this address expects.' },
  tooLarge: { number: 3002, status: 413, effect: 'rejected', meaning: 'The body is larger than the settings allow.' },
  notFound: { number: 3003, status: 404, effect: 'rejected', meaning: 'The address, pool, lane, subscription, service or target does not exist.' },
  syntax: { number: 3004, status: 400, effect: 'rejected', meaning: 'The command has a syntax error at the given column.' },
  invalidSettings: { number: 3005, status: 400, effect: 'rejected', meaning: 'The settings file has errors; all of them are listed.' },
  methodNotAllowed: { number: 3006, status: 405, effect: 'rejected', meaning: 'The address exists but does not support this method.' },
  tooSlow: { number: 3007, status: 408, effect: 'rejected', meaning: 'The request was not received completely within the time that the settings allow.' },
  headTooLarge: { number: 3008, status: 431, effect: 'rejected', meaning: 'The head of the request is larger than the configuration allows.' },
  scalingUnreadable: { number: 3009, status: 400, effect: 'rejected', meaning: 'The scaling of a service in the configuration is invalid; no targets are ordered for the service, and the routes of the configuration are in force.' },
  exceedsMemory: { number: 3010, status: 413, effect: 'rejected', meaning: 'The request, or an item of the submission, is larger than the memory of every engine that may run it. It does not run, and no part of the submission does.' },

  revisionConflict: { number: 4001, status: 409, effect: 'rejected', meaning: 'The object has changed since the revision given in the command.' },
  alreadyExists: { number: 4002, status: 409, effect: 'rejected', meaning: 'An object of this kind and name already exists.' },
  stillUsed: { number: 4003, status: 409, effect: 'rejected', meaning: 'Another object refers to this one.' },
  commandExpired: { number: 4004, status: 409, effect: 'rejected', meaning: 'The command reached the log too long after it was issued.' },
  licenceExceeded: { number: 4005, status: 409, effect: 'rejected', meaning: 'The pool has no licensed copies left.' },
  versionBehind: { number: 4006, status: 409, effect: 'rejected', meaning: 'A newer weight version is already in force.' },
  cursorBehind: { number: 4101, status: 409, effect: 'rejected', meaning: 'The pull refers to a batch that was already acknowledged.' },
  cursorAhead: { number: 4102, status: 409, effect: 'rejected', meaning: 'The pull acknowledges a batch that was never delivered.' },
  groupMismatch: { number: 4103, status: 409, effect: 'rejected', meaning: 'A group with this id was already submitted with different contents.' },

  unauthenticated: { number: 5001, status: 401, effect: 'rejected', meaning: 'The API key is missing or unknown.' },
  forbidden: { number: 5002, status: 403, effect: 'rejected', meaning: 'The API key does not permit this operation.' }
} as const satisfies Record<string, CodeEntry>

/** Name of a result code. */
export type ResultCode = keyof typeof codeTable

/** All result codes with their numbers, HTTP statuses, effects and meanings. */
export const resultCodes: Readonly<Record<ResultCode, CodeEntry>> = codeTable

/** A failure as a value: the code, a human-readable message, and details that help the receiver to recover. */
export interface Failure {
  readonly ok: false
  readonly code: ResultCode
  readonly message: string
  /** Delay in milliseconds after which a retry may succeed; absent if a retry cannot succeed. */
  readonly retryAfterMs?: number
  /** Column of a syntax error, counted from 1. */
  readonly column?: number
  /** Current revision, which conflicts with that of a conditional command. */
  readonly revision?: number
  /** Addresses of other hosts that may be able to serve the request. */
  readonly alternatives?: readonly string[]
}

/** A success as a value. */
export interface Success<T> {
  readonly ok: true
  readonly value: T
}

/** Outcome of an operation whose failures the caller must handle. */
export type Result<T> = Success<T> | Failure

export function success<T> (value: T): Success<T> {
  return { ok: true, value }
}

export function failure (code: ResultCode, message: string, details: Omit<Failure, 'ok' | 'code' | 'message'> = {}): Failure {
  return { ok: false, code, message, ...details }
}

/** Body of an error response to callers, trainers and operators. */
export interface FailureBody {
  readonly error: {
    readonly number: number
    readonly code: ResultCode
    readonly effect: Effect
    readonly message: string
    readonly retry_after_ms?: number
    readonly column?: number
    readonly revision?: number
    readonly alternatives?: readonly string[]
  }
}

/** Converts a failure to the body of an error response. */
export function failureBody (failed: Failure): FailureBody {
  const entry = resultCodes[failed.code]
  return {
    error: {
      number: entry.number,
      code: failed.code,
      effect: entry.effect,
      message: failed.message,
      ...(failed.retryAfterMs === undefined ? {} : { retry_after_ms: Math.ceil(failed.retryAfterMs) }),
      ...(failed.column === undefined ? {} : { column: failed.column }),
      ...(failed.revision === undefined ? {} : { revision: failed.revision }),
      ...(failed.alternatives === undefined ? {} : { alternatives: failed.alternatives })
    }
  }
}
