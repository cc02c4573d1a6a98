/** Port to a topic whose records are kept for a limited time and have no keys. */

import type { Result } from '../../base/common/resultCode.ts'

export interface History {
  /** Appends a record and gives its offset. */
  append (text: string): Promise<Result<number>>
  /** Removes the records before an offset. */
  trim (before: number): Promise<Result<void>>
  /** Reads all records that are still kept, in their order. */
  readAll (): Promise<Result<readonly string[]>>
}
