/**
 * Numbered result codes. Every refusal or failure that leaves the process carries one of these
 * numbers, so that a caller, an operator and an alarm speak of the same thing. The table is
 * repeated for readers in docs/RESULT-CODES.md; a test keeps both alike.
 *
 * The hundreds group the codes by what the receiver may conclude:
 * 1xxx not run, 2xxx outcome not known, 3xxx input is wrong, 4xxx conflict, 5xxx identity.
 */

/** What a receiver may conclude about the effect of what it asked for. */
export type Effect = 'not-run' | 'unknown-outcome' | 'rejected'

interface CodeEntry {
  readonly number: number
  readonly status: number
  readonly effect: Effect
  readonly meaning: string
}

const table = {
  overloaded: { number: 1001, status: 503, effect: 'not-run', meaning: 'The wait for a free slot would outlast the deadline or the queue bound.' },
  noTarget: { number: 1002, status: 503, effect: 'not-run', meaning: 'No live target serves this pool or service now.' },
  targetRefused: { number: 1003, status: 503, effect: 'not-run', meaning: 'The target refused before it ran anything.' },
  targetUnreachable: { number: 1004, status: 503, effect: 'not-run', meaning: 'No connection to the target could be opened; no byte left for it.' },
  logUnavailable: { number: 1005, status: 503, effect: 'not-run', meaning: 'The platform log did not take a record that must precede the work.' },
  stale: { number: 1006, status: 503, effect: 'not-run', meaning: 'This host may be behind the configuration and takes no new work.' },
  leaving: { number: 1007, status: 503, effect: 'not-run', meaning: 'This host is about to exit.' },
  deadlineExceeded: { number: 1008, status: 504, effect: 'not-run', meaning: 'The deadline passed before anything was sent to a target.' },
  callerLimit: { number: 1009, status: 429, effect: 'not-run', meaning: 'The caller already has as many requests in flight as its limit allows.' },
  tooManyConnections: { number: 1010, status: 503, effect: 'not-run', meaning: 'This host holds as many open requests as its settings allow.' },
  repeatLater: { number: 1011, status: 409, effect: 'not-run', meaning: 'An earlier attempt with this id is being settled; this attempt ran nothing.' },
  requestHeld: { number: 1012, status: 503, effect: 'not-run', meaning: 'Targets ended while they ran this request; it is held back from the others.' },

  unknownOutcome: { number: 2001, status: 502, effect: 'unknown-outcome', meaning: 'The request left for a target and no whole answer came back.' },
  requestExpired: { number: 2002, status: 410, effect: 'unknown-outcome', meaning: 'The id is older than the claim window; whether it ran is no longer recorded.' },
  inProgress: { number: 2003, status: 409, effect: 'unknown-outcome', meaning: 'Another attempt with this id holds the claim and has not reported.' },
  cancelled: { number: 2004, status: 499, effect: 'unknown-outcome', meaning: 'The caller cancelled the request after it was sent to a target.' },
  commandUnknown: { number: 2005, status: 504, effect: 'unknown-outcome', meaning: 'The log gave no answer; the command may still take hold. Repeat it with the same id.' },

  malformed: { number: 3001, status: 400, effect: 'rejected', meaning: 'The body is not what this address takes.' },
  tooLarge: { number: 3002, status: 413, effect: 'rejected', meaning: 'The body is larger than the settings allow.' },
  notFound: { number: 3003, status: 404, effect: 'rejected', meaning: 'No such address, pool, lane, subscription, service or target.' },
  syntax: { number: 3004, status: 400, effect: 'rejected', meaning: 'The command does not parse; the column is given.' },
  invalidSettings: { number: 3005, status: 400, effect: 'rejected', meaning: 'The settings file has mistakes; all are listed.' },
  methodNotAllowed: { number: 3006, status: 405, effect: 'rejected', meaning: 'The address exists but does not take this method.' },
  tooSlow: { number: 3007, status: 408, effect: 'rejected', meaning: 'The request was not sent in full within the time the settings allow.' },
  headTooLarge: { number: 3008, status: 431, effect: 'rejected', meaning: 'The head of the request is larger than the configuration allows.' },

  revisionConflict: { number: 4001, status: 409, effect: 'rejected', meaning: 'The object changed since the revision the command names.' },
  alreadyExists: { number: 4002, status: 409, effect: 'rejected', meaning: 'An object of this kind and name exists.' },
  stillUsed: { number: 4003, status: 409, effect: 'rejected', meaning: 'Another object refers to this one.' },
  commandExpired: { number: 4004, status: 409, effect: 'rejected', meaning: 'The command reached the log too long after it was written.' },
  licenceExceeded: { number: 4005, status: 409, effect: 'rejected', meaning: 'The pool has no licensed copy left.' },
  versionBehind: { number: 4006, status: 409, effect: 'rejected', meaning: 'A newer weight version is already in force.' },
  cursorBehind: { number: 4101, status: 409, effect: 'rejected', meaning: 'The pull names a batch that was already acknowledged.' },
  cursorAhead: { number: 4102, status: 409, effect: 'rejected', meaning: 'The pull acknowledges a batch that was never handed over.' },
  groupMismatch: { number: 4103, status: 409, effect: 'rejected', meaning: 'A group with this id was submitted with other contents.' },

  unauthenticated: { number: 5001, status: 401, effect: 'rejected', meaning: 'The key is missing or not known.' },
  forbidden: { number: 5002, status: 403, effect: 'rejected', meaning: 'The key does not allow this.' }
} as const satisfies Record<string, CodeEntry>

/** Name of a result code. */
export type ResultCode = keyof typeof table

/** All codes with their numbers, HTTP statuses, effects and meanings. */
export const resultCodes: Readonly<Record<ResultCode, CodeEntry>> = table

/** A failure as a value: the code, a sentence for people, and what helps the receiver to go on. */
export interface Failure {
  readonly ok: false
  readonly code: ResultCode
  readonly message: string
  /** Milliseconds after which another try makes sense; absent where none does. */
  readonly retryAfterMs?: number
  /** Column of a syntax error, counted from 1. */
  readonly column?: number
  /** Revision that beat a conditional command. */
  readonly revision?: number
  /** Addresses of other hosts worth asking. */
  readonly alternatives?: readonly string[]
}

/** A success as a value. */
export interface Success<T> {
  readonly ok: true
  readonly value: T
}

/** Outcome of an operation that may fail in a way its user must handle. */
export type Result<T> = Success<T> | Failure

/** Makes a success. */
export function success<T> (value: T): Success<T> {
  return { ok: true, value }
}

/** Makes a failure. */
export function failure (code: ResultCode, message: string, details: Omit<Failure, 'ok' | 'code' | 'message'> = {}): Failure {
  return { ok: false, code, message, ...details }
}

/** Body of a failure as it is sent to callers, trainers and operators. */
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

/** Turns a failure into the body that goes over the wire. */
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
