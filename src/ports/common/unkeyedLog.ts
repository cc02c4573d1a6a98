/** Port to a topic whose records have no keys and are retained for a limited time. */

import type { Result } from '../../base/common/resultCode.ts'

export interface UnkeyedLog {
  /** Appends a record and returns its offset. */
  append (text: string): Promise<Result<number>>
  /** Removes the records before an offset. */
  trim (before: number): Promise<Result<void>>
  /** Reads all retained records in order. */
  readAll (): Promise<Result<readonly string[]>>
}
