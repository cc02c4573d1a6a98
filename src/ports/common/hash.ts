/** Hashing as a service: the decisions need it synchronously, the library starts asynchronously. */

/** A 64-bit hash, alike on all hosts. */
export interface Hash {
  /** Hash of a text as 16 hexadecimal digits. */
  digest (text: string): string
  /** Hash of a text as a number of 32 bits. */
  number (text: string): number
}
