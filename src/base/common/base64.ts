/** Decoding of base64 text. */

export function decodeBase64 (text: string): Uint8Array {
  return Uint8Array.from(atob(text), (character) => character.charCodeAt(0))
}
