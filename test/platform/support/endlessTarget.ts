/** A target whose answers never end: it sends bytes as fast as they are read, until the other side closes the connection. */

import type { AddressInfo, Server, Socket } from 'node:net'
import { createServer } from 'node:net'

const LINE = `${'x'.repeat(1022)}\r\n`
const FILLER = LINE.repeat(64)
const ANSWER_HEADERS = (id: string): string => `bulrushvalve-request-id: ${id}\r\nbulrushvalve-response-seal: s\r\nbulrushvalve-weight-versions: 1\r\n`
const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`

/** What is sent first, and then again and again. */
interface EndlessAnswer {
  readonly begin: (id: string) => string
  readonly filler: string
}

const streamHead = (id: string): string => `HTTP/1.1 200 OK\r\n${ANSWER_HEADERS(id)}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`

export const endlessAnswers = {
  'noise in place of a head': { begin: () => '', filler: FILLER },
  'header lines': { begin: (id) => `HTTP/1.1 200 OK\r\n${ANSWER_HEADERS(id)}`, filler: `a: ${LINE}`.repeat(64) },
  'one header': { begin: (id) => `HTTP/1.1 200 OK\r\n${ANSWER_HEADERS(id)}a: `, filler: 'x'.repeat(65_536) },
  'interim answers': { begin: () => '', filler: 'HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n'.repeat(1000) },
  'a body without a length': { begin: (id) => `HTTP/1.1 200 OK\r\n${ANSWER_HEADERS(id)}\r\n`, filler: FILLER },
  'a chunked body': { begin: (id) => `HTTP/1.1 200 OK\r\n${ANSWER_HEADERS(id)}transfer-encoding: chunked\r\n\r\n`, filler: chunk(FILLER) },
  'the body of a failure': { begin: (id) => `HTTP/1.1 500 Failed\r\n${ANSWER_HEADERS(id)}transfer-encoding: chunked\r\n\r\n`, filler: chunk(FILLER) },
  'the body of a refusal': { begin: (id) => `HTTP/1.1 503 Full\r\nbulrushvalve-not-run: 1\r\nbulrushvalve-request-id: ${id}\r\ntransfer-encoding: chunked\r\n\r\n`, filler: chunk(FILLER) },
  'an event': { begin: streamHead, filler: chunk(`data: ${LINE}`.repeat(64)) },
  'an event after a whole one': { begin: (id) => `${streamHead(id)}${chunk('id: 0\ndata: a\n\n')}`, filler: chunk(`data: ${LINE}`.repeat(64)) },
  'empty lines': { begin: streamHead, filler: chunk('\n'.repeat(65_536)) }
} as const satisfies Record<string, EndlessAnswer>

export type EndlessAnswerName = keyof typeof endlessAnswers

export class EndlessTarget {
  answer: EndlessAnswerName = 'noise in place of a head'
  /** Times at which the open connections were given a request, in Unix milliseconds. */
  private readonly requestedAt = new Map<Socket, number>()
  private readonly server: Server
  requests = 0

  private constructor () {
    this.server = createServer((socket) => { this.serve(socket) })
  }

  static async start (): Promise<EndlessTarget> {
    const target = new EndlessTarget()
    await new Promise<void>((resolve) => { target.server.listen(0, '127.0.0.1', resolve) })
    return target
  }

  get address (): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** How long the oldest request that is still being answered has lasted. */
  get longestAnswerMs (): number {
    return Math.max(0, ...[...this.requestedAt.values()].map((at) => Date.now() - at))
  }

  close (): void {
    for (const socket of this.requestedAt.keys()) socket.destroy()
    this.server.close()
  }

  private serve (socket: Socket): void {
    let head = ''
    socket.on('error', () => undefined)
    socket.on('close', () => { this.requestedAt.delete(socket) })
    socket.on('data', (data) => {
      if (this.requestedAt.has(socket)) return
      head += data.toString('latin1')
      if (!head.includes('\r\n\r\n')) return
      this.requests++
      this.requestedAt.set(socket, Date.now())
      const { begin, filler } = endlessAnswers[this.answer]
      socket.write(begin(/bulrushvalve-request-id: (\S+)/i.exec(head)?.[1] ?? ''))
      const send = (): void => {
        while (!socket.destroyed && socket.write(filler));
        if (!socket.destroyed) socket.once('drain', send)
      }
      send()
    })
  }
}
