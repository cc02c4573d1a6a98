/**
 * Answers that end in every way: sent in parts of drawn sizes, framed or ended by their connection, over connections that end, are reset, or both,
 * several at once, to readers that pause and to an event loop that is busy. A case says what was drawn, `play` what the readers were told.
 */

import fc from 'fast-check'
import type { AddressInfo, Server, Socket } from 'node:net'
import { createServer } from 'node:net'
import { pause } from '../../standins/httpStandIn.ts'

export type Framing = 'none' | 'length' | 'chunked'
/** `early end`: a framed answer lacks its last byte or chunk; one that has no frame cannot tell. */
export type Ending = 'end' | 'reset' | 'end and reset' | 'early end'

export interface AnswerCase {
  readonly framing: Framing
  /** Whether the target says that it closes the connection after the answer. */
  readonly closing: boolean
  readonly partBytes: readonly number[]
  /** Pause before each part in milliseconds; none sends it in the same turn of the event loop. */
  readonly gapMs: number
  readonly ending: Ending
  readonly ownConnection: boolean
  readonly way: 'whole' | 'stream'
  /** Pauses of the reader before it takes the next piece, in milliseconds, used in turn. */
  readonly pausesMs: readonly number[]
}

export interface EndingCase {
  readonly answers: readonly AnswerCase[]
  /** How long the event loop is busy after each answer was sent, in milliseconds. */
  readonly busyMs: number
}

/** What a reader was told: the bytes, and whether they are the whole answer. */
export interface Told {
  readonly bytes: Buffer
  readonly whole: boolean
}

/** Reads the answer to a GET of a path. */
export type Reader = (address: string, path: string, answer: AnswerCase) => Promise<Told>

/** Bytes that leave with one flight over loopback: what a reset cannot overtake. */
export const ONE_FLIGHT_BYTES = 32_768
/** Several chunks come with one read, so that a reader may pause between them. */
const CHUNK_BYTES = 700
const PART_BYTES = [1, 200, 4096, 16_384, 32_768, 65_535, 65_536, 65_537, 131_072, 200_000] as const

const answerCase: fc.Arbitrary<AnswerCase> = fc.record({
  framing: fc.constantFrom<Framing>('none', 'none', 'none', 'length', 'chunked'),
  closing: fc.boolean(),
  partBytes: fc.array(fc.constantFrom(...PART_BYTES), { minLength: 1, maxLength: 5 }),
  gapMs: fc.constantFrom(0, 0, 1, 3),
  ending: fc.constantFrom<Ending>('end', 'reset', 'end and reset', 'early end'),
  ownConnection: fc.boolean(),
  way: fc.constantFrom<'whole' | 'stream'>('whole', 'stream', 'stream'),
  pausesMs: fc.array(fc.constantFrom(0, 0, 1, 4, 10), { minLength: 1, maxLength: 4 })
})

export const endingCases: fc.Arbitrary<EndingCase> = fc.record({
  answers: fc.array(answerCase, { minLength: 1, maxLength: 8 }),
  busyMs: fc.constantFrom(0, 0, 5, 15)
})

/** The whole body of an answer; its bytes tell answers and places apart. */
export function bodyOf ({ partBytes }: AnswerCase, index: number): Buffer {
  const body = Buffer.alloc(partBytes.reduce((sum, bytes) => sum + bytes, 0))
  for (let at = 0; at < body.length; at++) body[at] = (at * 31 + (at >> 8) * 7 + index) & 0xff
  return body
}

/** Sends the answers of a case and says what is wrong with what the readers were told. */
export async function play ({ answers, busyMs }: EndingCase, read: Reader): Promise<string[]> {
  const server = createServer((socket) => { serve(socket, answers, busyMs) })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  try {
    const told = await Promise.all(answers.map(async (answer, index) => await read(address, `/${index}`, answer)))
    return answers.flatMap((answer, index) => {
      const fault = faultOf(answer, bodyOf(answer, index), told[index] ?? { bytes: Buffer.alloc(0), whole: false })
      return fault === undefined ? [] : [`${fault}: ${JSON.stringify(answer)}`]
    })
  } finally {
    await closed(server)
  }
}

function faultOf ({ framing, ending }: AnswerCase, body: Buffer, { bytes, whole }: Told): string | undefined {
  if (!body.subarray(0, bytes.length).equals(bytes)) return 'other bytes than were sent'
  if (whole && bytes.length < body.length) return `${bytes.length} of ${body.length} bytes passed for a whole answer`
  if (whole && ending === (framing === 'none' ? 'reset' : 'early end')) return 'an answer that was cut passed for a whole one'
  return !whole && surelyArrives(framing, ending, body.length) ? `a whole answer was lost, ${bytes.length} of ${body.length} bytes were told` : undefined
}

/** Whether an answer is whole and comes whole: a reset overtakes only what has not left yet. */
function surelyArrives (framing: Framing, ending: Ending, bytes: number): boolean {
  switch (ending) {
    case 'end': return true
    case 'early end': return framing === 'none'
    case 'end and reset': return bytes <= ONE_FLIGHT_BYTES
    case 'reset': return framing !== 'none' && bytes <= ONE_FLIGHT_BYTES
  }
}

function serve (socket: Socket, answers: readonly AnswerCase[], busyMs: number): void {
  socket.on('error', () => undefined)
  socket.on('data', (head: Buffer) => {
    const index = Number(/^GET \/(\d+) /.exec(head.toString('latin1'))?.[1] ?? NaN)
    const answer = answers[index]
    if (answer === undefined) socket.destroy()
    else send(socket, answer, bodyOf(answer, index)).then(() => { keepBusy(busyMs) }, () => { socket.destroy() })
  })
}

async function send (socket: Socket, { framing, closing, partBytes, gapMs, ending }: AnswerCase, body: Buffer): Promise<void> {
  const missing = ending === 'early end' ? 1 : 0
  const lengths = { none: '', length: `content-length: ${body.length + missing}\r\n`, chunked: 'transfer-encoding: chunked\r\n' }
  socket.write(`HTTP/1.1 200 OK\r\n${closing ? 'connection: close\r\n' : ''}${lengths[framing]}\r\n`)
  let at = 0
  for (const bytes of partBytes) {
    if (gapMs > 0) await pause(gapMs)
    const part = body.subarray(at, at + bytes)
    socket.write(framing === 'chunked' ? chunked(part) : part)
    at += bytes
  }
  if (framing === 'chunked' && missing === 0) socket.write('0\r\n\r\n')
  if (gapMs > 0) await pause(gapMs)
  if (ending === 'reset') socket.resetAndDestroy()
  else socket.end(() => { if (ending === 'end and reset') socket.resetAndDestroy() })
}

function chunked (part: Buffer): Buffer {
  const pieces: Buffer[] = []
  for (let at = 0; at < part.length; at += CHUNK_BYTES) {
    const chunk = part.subarray(at, at + CHUNK_BYTES)
    pieces.push(Buffer.from(`${chunk.length.toString(16)}\r\n`), chunk, Buffer.from('\r\n'))
  }
  return Buffer.concat(pieces)
}

function keepBusy (milliseconds: number): void {
  const until = performance.now() + milliseconds
  while (performance.now() < until) Math.sqrt(until)
}

async function closed (server: Server): Promise<void> {
  await new Promise((resolve) => { server.close(resolve) })
}
