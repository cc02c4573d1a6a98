/** Reports invalid settings when the program starts, and sets its exit code. */

import type { Failure } from '../../base/common/resultCode.ts'
import { resultCodes } from '../../base/common/resultCode.ts'

/** Exit code for invalid arguments or settings. */
export const EXIT_USAGE = 2

/** Writes the error number and all validation errors to standard error. */
export function reportInvalidSettings ({ code, message }: Failure): void {
  process.stderr.write(`${resultCodes[code].number} ${code}\n${message}\n`)
  process.exitCode = EXIT_USAGE
}
