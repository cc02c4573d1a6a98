/** Port to a hash function. It is a port because decision logic needs it synchronously, while the library loads asynchronously. */

/** A non-cryptographic hash that is the same on all hosts. */
export interface Hash {
  /** Returns the 64-bit hash of a text as 16 hexadecimal digits. */
  digest (text: string): string
  /** Returns the 32-bit hash of a text. */
  number (text: string): number
}
