/** Status codes of HTTP responses. */

const MIN_FINAL_STATUS = 200
const MAX_STATUS = 599

/** Whether a status is valid for a final response (RFC 9110, section 15). Parsers accept any three digits. */
export function isFinalStatus (status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_STATUS
}
