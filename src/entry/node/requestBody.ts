/** Reading of request bodies into memory, with limits on each body and on all of them together. */

import type { IncomingMessage } from 'node:http'
import type { Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'
import type { MemoryHolder } from '../../core/common/overload/memoryBudget.ts'
import type { Metrics } from '../../ports/common/observation.ts'
import type { ClientMemory } from './clientMemory.ts'
import { BLOCK_BYTES, MEMORY_USED_UP } from './clientMemory.ts'
import { stopParsing } from './requestParser.ts'

/** Number of chunks up to which their size does not matter. */
const MAX_SMALL_CHUNKS = 1024
/** Smallest average size of the chunks of a body with more chunks. */
const MIN_CHUNK_BYTES = 16

const EMPTY = new Uint8Array()
const NOT_NEEDED = failure('cancelled', 'the request body is not needed')

export interface RequestBodiesServices {
  readonly memory: ClientMemory
  readonly metrics: Pick<Metrics, 'count'>
}

/** The bodies of all requests of a server. Bodies that have stopped arriving are given up when others need their memory. */
export class RequestBodies {
  constructor (private readonly services: RequestBodiesServices) {}

  /** Starts to read the body of a request whose head has just been received. */
  read (request: IncomingMessage, maximumBytes: number): RequestBody {
    return new RequestBody(request, this.services, maximumBytes)
  }

  /** Discards the body of a request as it arrives. */
  discard (request: IncomingMessage): void {
    this.read(request, 0).release()
  }
}

/**
 * The body of one request. It is read from the moment the head has been received, as the chunks that arrive together
 * with the head would otherwise wait as one object each, which takes about a hundred times the memory of a small chunk.
 */
export class RequestBody implements MemoryHolder {
  receivedBytes = 0
  private chunks = 0
  private blocks: Buffer[] = []
  /** Memory reserved for the whole body. */
  private wholeBytes = 0
  private outcome: Result<Uint8Array> | undefined
  private onOutcome: ((outcome: Result<Uint8Array>) => void) | undefined

  constructor (private readonly request: IncomingMessage, private readonly services: RequestBodiesServices, private readonly maximumBytes: number) {
    request.on('data', (chunk: Buffer) => { this.append(chunk) })
    request.once('end', () => { this.complete() })
    request.once('close', () => { this.settle(failure('tooSlow', 'the connection was closed before the request body was complete')) })
    request.on('error', (error) => { this.settle(failure('tooSlow', `the request body did not arrive completely: ${error.message}`)) })
    if (Number(request.headers['content-length'] ?? 0) > maximumBytes) this.rejectTooLarge()
    else services.memory.contents.noteActivity(this)
    // Without it, the data of the first read would be queued instead of passed on as it is parsed.
    request.read(0)
  }

  get progress (): number {
    return this.receivedBytes
  }

  /** Resolves with the whole body, or with the limit that it has exceeded. */
  async read (): Promise<Result<Uint8Array>> {
    return this.outcome ?? await new Promise((resolve) => { this.onOutcome = resolve })
  }

  /** Fails if the body is incomplete, because it has stopped arriving and its memory is needed. */
  giveUp (): void {
    this.settle(failure('tooSlow', 'the request body stopped arriving'))
  }

  /** Releases the memory. Data that still arrives is discarded. */
  release (): void {
    this.settle(NOT_NEEDED)
    this.outcome = NOT_NEEDED
    this.services.memory.contents.free(this.wholeBytes)
    this.wholeBytes = 0
  }

  private append (chunk: Buffer): void {
    this.chunks++
    const size = this.receivedBytes + chunk.length
    this.receivedBytes = size
    if (this.chunks > MAX_SMALL_CHUNKS && size < this.chunks * MIN_CHUNK_BYTES) return this.rejectSmallChunks()
    if (this.outcome !== undefined) return
    if (size > this.maximumBytes) return this.rejectTooLarge()
    if (!this.store(chunk, size - chunk.length)) return this.rejectOverloaded()
    this.services.memory.contents.noteActivity(this)
  }

  /** Copies a chunk to the end of the blocks. Returns false if there is no memory for it. */
  private store (chunk: Buffer, offset: number): boolean {
    for (let copied = 0; copied < chunk.length;) {
      const index = Math.floor((offset + copied) / BLOCK_BYTES)
      const block = this.blocks[index] ?? this.services.memory.takeBlock()
      if (block === undefined) return false
      this.blocks[index] = block
      copied += chunk.copy(block, (offset + copied) % BLOCK_BYTES, copied)
    }
    return true
  }

  private complete (): void {
    if (this.outcome !== undefined) return
    if (this.receivedBytes === 0) return this.settle(success(EMPTY))
    const whole = Buffer.concat(this.blocks, this.receivedBytes)
    this.settle(success(whole))
    this.services.memory.contents.add(whole.length)
    this.wholeBytes = whole.length
  }

  private settle (outcome: Result<Uint8Array>): void {
    if (this.outcome !== undefined) return
    this.outcome = outcome
    this.services.memory.returnBlocks(this.blocks)
    this.blocks = []
    this.services.memory.contents.remove(this)
    this.onOutcome?.(outcome)
  }

  private rejectTooLarge (): void {
    this.settle(failure('tooLarge', `the request body exceeds the limit of ${this.maximumBytes} bytes`))
  }

  private rejectOverloaded (): void {
    this.settle(MEMORY_USED_UP)
  }

  /** Closes the connection, as parsing the rest would take much more processor time than its size suggests. */
  private rejectSmallChunks (): void {
    this.settle(failure('malformed', `the chunks of the request body have less than ${MIN_CHUNK_BYTES} bytes on average`))
    if (this.request.socket.destroyed) return
    this.services.metrics.count('connections.closed_small_chunks')
    stopParsing(this.request.socket)
    this.request.socket.destroy()
  }
}

/** Whether a request has a body, according to its head. */
export function hasBody ({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0
}
