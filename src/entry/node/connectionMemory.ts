/**
 * Accounts for the memory that one connection occupies besides the bodies of its requests: request heads, also incomplete ones,
 * and a complete response that waits to be read. Heads and responses of usual sizes are not counted, as the limit on
 * connections bounds them.
 */

import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { MemoryHolder } from '../../core/common/overload/memoryBudget.ts'
import type { ClientMemory, MemoryShare } from './clientMemory.ts'

/** Size up to which a request head is not counted. */
const MAX_SMALL_HEAD_BYTES = 2048
/** Number of copies of a complete head: as received, with the headers to forward, and as sent to a target. */
const HEAD_COPIES = 3
/** Size up to which a response that waits to be read is not counted. */
const MAX_SMALL_RESPONSE_BYTES = 65_536

/** The request heads of a connection whose responses are not complete. */
export class HeadMemory {
  private readonly reservation: ConnectionReservation
  private completeBytes = 0
  /** Size of the incomplete head at the end of the input. */
  private arrivingBytes = 0
  /** Position in the input at which the latest head begins; `undefined` once it is complete. */
  private headStart: number | undefined
  /** Position in the input up to which all heads have been counted. */
  private position = 0

  /** @param isServing whether a request is being served, so that the connection must keep its memory */
  constructor (private readonly socket: Socket, memory: ClientMemory, isServing: () => boolean, onGiveUp: () => void) {
    this.reservation = new ConnectionReservation(memory.heads, () => isServing() ? undefined : socket.bytesRead, onGiveUp)
  }

  /** Whether a request head has been received in part. */
  get isIncomplete (): boolean {
    return this.headStart !== undefined
  }

  /** Notes that a request head begins. */
  begin (): void {
    this.headStart = this.position
  }

  /** Counts what has been read of an incomplete head. Returns false if there is no memory for it. */
  countArriving (): boolean {
    this.position = this.socket.bytesRead
    this.arrivingBytes = this.headStart === undefined ? 0 : countedBytes(this.position - this.headStart, MAX_SMALL_HEAD_BYTES)
    return this.update()
  }

  /** Counts the head of a request. Returns the number of bytes to be freed later, or `undefined` if there is no memory for it. */
  add (request: IncomingMessage): number | undefined {
    const size = headSizeBytes(request)
    const bytes = countedBytes(size, MAX_SMALL_HEAD_BYTES) * HEAD_COPIES
    this.position = Math.min(this.socket.bytesRead, (this.headStart ?? this.position) + size)
    this.headStart = undefined
    this.arrivingBytes = 0
    this.completeBytes += bytes
    if (this.update()) return bytes
    this.completeBytes -= bytes
    return undefined
  }

  /** Frees the head of a request whose response is complete. */
  free (bytes: number): void {
    this.completeBytes -= bytes
    this.update()
  }

  release (): void {
    this.reservation.release()
  }

  private update (): boolean {
    return this.reservation.resize(this.completeBytes + this.arrivingBytes, 'request')
  }
}

/** A complete response that waits to be read by its client. */
export class ResponseMemory {
  private readonly reservation: ConnectionReservation

  constructor (private readonly socket: Socket, memory: ClientMemory, onGiveUp: () => void) {
    this.reservation = new ConnectionReservation(memory.contents, () => socket.bytesWritten - socket.writableLength, onGiveUp)
  }

  /** Counts a response that has just been completed. Returns false if there is no memory for what has not been read of it. */
  add (): boolean {
    return this.reservation.resize(countedBytes(this.socket.writableLength, MAX_SMALL_RESPONSE_BYTES), 'response')
  }

  release (): void {
    this.reservation.release()
  }
}

/** Memory that one connection has reserved for one use. */
class ConnectionReservation implements MemoryHolder {
  private bytes = 0

  constructor (private readonly share: MemoryShare, private readonly progressOf: () => number | undefined, readonly giveUp: () => void) {}

  get progress (): number | undefined {
    return this.progressOf()
  }

  /** Reserves or frees the difference. Returns false if there is not enough memory; the size is then unchanged. */
  resize (bytes: number, use: 'request' | 'response'): boolean {
    const more = bytes - this.bytes
    if (more === 0) return true
    if (more < 0) this.share.free(-more)
    else if (!(use === 'response' ? this.share.reserveForResponse(more) : this.share.reserveForRequest(more))) return false
    this.bytes = bytes
    if (bytes === 0) this.share.remove(this)
    else this.share.noteActivity(this)
    return true
  }

  release (): void {
    this.share.free(this.bytes)
    this.bytes = 0
    this.share.remove(this)
  }
}

function countedBytes (size: number, maximumSmall: number): number {
  return size > maximumSmall ? size : 0
}

/** Approximates the size of a request head: the URL, and header names and values with their separators. */
export function headSizeBytes ({ rawHeaders, url = '' }: IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, url.length)
}
