/**
 * Property-based cases of how HTTP answers end: sent in parts of random sizes, framed or delimited by the end of the connection, over connections
 * that are closed, reset, or both, several at once, to readers that pause, with a blocked event loop. `runCase` sends the answers of a case and
 * checks what the readers received.
 */

import fc from 'fast-check'
import type { AddressInfo, Server, Socket } from 'node:net'
import { createServer } from 'node:net'
import { pause } from '../../standins/httpStandIn.ts'

export type Framing = 'none' | 'length' | 'chunked'
/** `early end`: a framed answer lacks its last byte or chunk. Without framing this cannot be detected. */
export type Ending = 'end' | 'reset' | 'end and reset' | 'early end'

export interface AnswerCase {
  readonly framing: Framing
  /** Whether the target sends `connection: close`. */
  readonly closing: boolean
  readonly partBytes: readonly number[]
  /** Pause before each part, in milliseconds. 0 sends the part in the same turn of the event loop. */
  readonly partDelayMs: number
  readonly ending: Ending
  readonly isNewConnection: boolean
  readonly way: 'whole' | 'stream'
  /** Pauses of the reader before it reads the next piece, in milliseconds, used in rotation. */
  readonly readerPausesMs: readonly number[]
}

export interface EndingCase {
  readonly answers: readonly AnswerCase[]
  /** How long the event loop is blocked after each answer was sent, in milliseconds. */
  readonly busyMs: number
}

/** What a reader received: the bytes, and whether they were reported as the whole answer. */
export interface ReceivedAnswer {
  readonly bytes: Buffer
  readonly whole: boolean
}

/** Sends a GET request for a path and reads the answer. */
export type AnswerReader = (address: string, path: string, answer: AnswerCase) => Promise<ReceivedAnswer>

/** Number of bytes that are sent over loopback at once, so that a subsequent reset cannot discard them. */
export const RESET_SAFE_BYTES = 32_768
/** Size of a chunk. It is small enough that several chunks arrive with one read, so that a reader may pause between them. */
const CHUNK_BYTES = 700
const PART_BYTES = [1, 200, 4096, 16_384, 32_768, 65_535, 65_536, 65_537, 131_072, 200_000] as const

const answerCase: fc.Arbitrary<AnswerCase> = fc.record({
  framing: fc.constantFrom<Framing>('none', 'none', 'none', 'length', 'chunked'),
  closing: fc.boolean(),
  partBytes: fc.array(fc.constantFrom(...PART_BYTES), { minLength: 1, maxLength: 5 }),
  partDelayMs: fc.constantFrom(0, 0, 1, 3),
  ending: fc.constantFrom<Ending>('end', 'reset', 'end and reset', 'early end'),
  isNewConnection: fc.boolean(),
  way: fc.constantFrom<'whole' | 'stream'>('whole', 'stream', 'stream'),
  readerPausesMs: fc.array(fc.constantFrom(0, 0, 1, 4, 10), { minLength: 1, maxLength: 4 })
})

export const endingCases: fc.Arbitrary<EndingCase> = fc.record({
  answers: fc.array(answerCase, { minLength: 1, maxLength: 8 }),
  busyMs: fc.constantFrom(0, 0, 5, 15)
})

/** Returns the whole body of an answer. The bytes depend on the answer and on the position, so that mix-ups are detected. */
export function bodyOf ({ partBytes }: AnswerCase, index: number): Buffer {
  const body = Buffer.alloc(partBytes.reduce((sum, bytes) => sum + bytes, 0))
  for (let at = 0; at < body.length; at++) body[at] = (at * 31 + (at >> 8) * 7 + index) & 0xff
  return body
}

/** Sends the answers of a case and returns the violations in what the readers received. */
export async function runCase ({ answers, busyMs }: EndingCase, read: AnswerReader): Promise<string[]> {
  const server = createServer((socket) => { handleConnection(socket, answers, busyMs) })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  try {
    const received = await Promise.all(answers.map(async (answer, index) => await read(address, `/${index}`, answer)))
    return answers.flatMap((answer, index) => {
      const violation = findViolation(answer, bodyOf(answer, index), received[index] ?? { bytes: Buffer.alloc(0), whole: false })
      return violation === undefined ? [] : [`${violation}: ${JSON.stringify(answer)}`]
    })
  } finally {
    await closeServer(server)
  }
}

function findViolation ({ framing, ending }: AnswerCase, body: Buffer, { bytes, whole }: ReceivedAnswer): string | undefined {
  if (!body.subarray(0, bytes.length).equals(bytes)) return 'the received bytes differ from those sent'
  if (whole && bytes.length < body.length) return `${bytes.length} of ${body.length} bytes were reported as a whole answer`
  if (whole && ending === (framing === 'none' ? 'reset' : 'early end')) return 'a truncated answer was reported as whole'
  return !whole && mustArriveWhole(framing, ending, body.length) ? `a whole answer was not reported as whole: received ${bytes.length} of ${body.length} bytes` : undefined
}

/** Returns whether an answer is complete and must arrive completely. A reset discards only bytes that have not been sent yet. */
function mustArriveWhole (framing: Framing, ending: Ending, bytes: number): boolean {
  switch (ending) {
    case 'end': return true
    case 'early end': return framing === 'none'
    case 'end and reset': return bytes <= RESET_SAFE_BYTES
    case 'reset': return framing !== 'none' && bytes <= RESET_SAFE_BYTES
  }
}

function handleConnection (socket: Socket, answers: readonly AnswerCase[], busyMs: number): void {
  socket.on('error', () => undefined)
  socket.on('data', (head: Buffer) => {
    const index = Number(/^GET \/(\d+) /.exec(head.toString('latin1'))?.[1] ?? NaN)
    const answer = answers[index]
    if (answer === undefined) socket.destroy()
    else sendAnswer(socket, answer, bodyOf(answer, index)).then(() => { blockEventLoop(busyMs) }, () => { socket.destroy() })
  })
}

async function sendAnswer (socket: Socket, { framing, closing, partBytes, partDelayMs: gapMs, ending }: AnswerCase, body: Buffer): Promise<void> {
  const missingBytes = ending === 'early end' ? 1 : 0
  const lengths = { none: '', length: `content-length: ${body.length + missingBytes}\r\n`, chunked: 'transfer-encoding: chunked\r\n' }
  socket.write(`HTTP/1.1 200 OK\r\n${closing ? 'connection: close\r\n' : ''}${lengths[framing]}\r\n`)
  let at = 0
  for (const bytes of partBytes) {
    if (gapMs > 0) await pause(gapMs)
    const part = body.subarray(at, at + bytes)
    socket.write(framing === 'chunked' ? encodeChunks(part) : part)
    at += bytes
  }
  if (framing === 'chunked' && missingBytes === 0) socket.write('0\r\n\r\n')
  if (gapMs > 0) await pause(gapMs)
  if (ending === 'reset') socket.resetAndDestroy()
  else socket.end(() => { if (ending === 'end and reset') socket.resetAndDestroy() })
}

function encodeChunks (part: Buffer): Buffer {
  const pieces: Buffer[] = []
  for (let at = 0; at < part.length; at += CHUNK_BYTES) {
    const chunk = part.subarray(at, at + CHUNK_BYTES)
    pieces.push(Buffer.from(`${chunk.length.toString(16)}\r\n`), chunk, Buffer.from('\r\n'))
  }
  return Buffer.concat(pieces)
}

function blockEventLoop (milliseconds: number): void {
  const until = performance.now() + milliseconds
  while (performance.now() < until) Math.sqrt(until)
}

async function closeServer (server: Server): Promise<void> {
  await new Promise((resolve) => { server.close(resolve) })
}
