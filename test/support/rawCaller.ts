/** A caller that sends a raw request and reports how its connection ended. */

import { connect } from 'node:net'

export interface RawAnswer {
  readonly text: string
  readonly end: 'ended' | 'reset'
}

export interface RawCall {
  /** Origin of a host. */
  readonly address: string
  /** Request head and body. */
  readonly message: string
  /** Time before reading starts, in milliseconds. */
  readonly pauseMs?: number
}

export async function rawCall ({ address, message, pauseMs = 0 }: RawCall): Promise<RawAnswer> {
  const { hostname, port } = new URL(address)
  const pieces: Buffer[] = []
  return await new Promise((resolve, reject) => {
    const finish = (end: RawAnswer['end']): void => { resolve({ text: Buffer.concat(pieces).toString(), end }) }
    const onRead = (length: number, buffer: Uint8Array): boolean => {
      pieces.push(Buffer.from(buffer.subarray(0, length)))
      // If reading continued within this turn, a reset that has already arrived would be reported as a regular end.
      setImmediate(() => { socket.resume() })
      return false
    }
    const socket = connect({ host: hostname, port: Number(port), onread: { buffer: Buffer.alloc(65_536), callback: onRead } })
    socket.pause()
    setTimeout(() => { socket.resume() }, pauseMs)
    socket.once('end', () => { finish('ended') })
    socket.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNRESET') finish('reset')
      else reject(error)
    })
    socket.write(message)
  })
}
