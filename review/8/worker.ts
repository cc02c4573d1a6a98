/** A model worker as a process of its own: streams the first half of an event, pauses, and goes on. Its answers have no length and end with their channel. */

import { createServer } from 'node:net'

const [port = '0', pauseMs = '1000', events = '5'] = process.argv.slice(2)

createServer((socket) => {
  let received = ''
  socket.on('error', () => undefined)
  socket.on('data', (data) => {
    received += data.toString('latin1')
    const head = received.indexOf('\r\n\r\n')
    if (head < 0) return
    const header = (name: string): string | undefined => new RegExp(`^${name}: *(.*)$`, 'im').exec(received.slice(0, head))?.[1]?.trim()
    const length = Number(header('content-length') ?? 0)
    if (received.length < head + 4 + length) return
    const id = header('bulrushvalve-request-id') ?? ''
    const path = received.split(' ', 2)[1] ?? ''
    received = ''
    if (path === '/report') {
      const body = JSON.stringify({ stage: 'both', models: [], busy: false, seq: 0, waiting: 0, running: 0, kv_used: 0, kv_total: 45_164, handles: 0 })
      socket.end(`HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\nConnection: close\r\n\r\n${body}`)
      return
    }
    const first = Number(header('last-event-id') ?? -1) + 1
    const text = Array.from({ length: Number(events) - first }, (_, index) => `id: ${first + index}\ndata: piece ${first + index} of ${id}\n\n`).join('')
    socket.write(`HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nBulrushvalve-Request-Id: ${id}\r\nBulrushvalve-Response-Seal: seal-of-${id}\r\nBulrushvalve-Weight-Versions: 1\r\nConnection: close\r\n\r\n${text.slice(0, 15)}`)
    process.stdout.write(`began ${id}\n`)
    setTimeout(() => { socket.end(text.slice(15)) }, Number(pauseMs))
  })
}).listen(Number(port), '127.0.0.1', () => { process.stdout.write('listening\n') })
