/** Tells whoever starts the program that its settings cannot be used, and has it exit so. */

import type { Failure } from '../../base/common/resultCode.ts'
import { resultCodes } from '../../base/common/resultCode.ts'

/** Exit code for words or settings that cannot be used. */
export const EXIT_USAGE = 2

/** Writes the number of the refusal and every mistake. */
export function refuseSettings ({ code, message }: Failure): void {
  process.stderr.write(`${resultCodes[code].number} ${code}\n${message}\n`)
  process.exitCode = EXIT_USAGE
}
