/** Reads raw streams from a fleet, as HTTP/1.0 and HTTP/1.1 callers receive them. */

import type { RawAnswer } from '../../support/rawCaller.ts'
import { rawCall } from '../../support/rawCaller.ts'
import type { Fleet } from './fleet.ts'
import { CALLS_HOST } from './fleet.ts'

export type HttpVersion = '1.0' | '1.1'

/** Returns a raw request for a stream with a given number of events. */
export function streamMessage (fleet: Fleet, version: HttpVersion, events: number): string {
  return `POST /chat/events-${events}/x HTTP/${version}\r\nhost: ${CALLS_HOST}\r\nconnection: close\r\nbulrushvalve-request-id: ${fleet.newId()}\r\nbulrushvalve-deadline-ms: 30000\r\nbulrushvalve-model: m\r\ncontent-length: 0\r\n\r\n`
}

/** Reads a stream from the first host, starting after a pause. */
export async function readStream (fleet: Fleet, version: HttpVersion, events: number, pauseMs = 0): Promise<RawAnswer> {
  return await rawCall({ address: fleet.host(0).address, message: streamMessage(fleet, version, events), pauseMs })
}

/** Returns the numbers of the events in a text. */
export function eventNumbers (text: string): number[] {
  return [...text.matchAll(/^id: (\d+)$/gm)].map(([, number]) => Number(number))
}

/** Whether a chunked response has its last chunk. */
export function hasLastChunk ({ text }: RawAnswer): boolean {
  return text.endsWith('\r\n0\r\n\r\n')
}
