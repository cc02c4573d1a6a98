/** A caller that writes its request as it is and tells how its connection ended. */

import { connect } from 'node:net'

export interface RawAnswer {
  readonly text: string
  readonly end: 'ended' | 'reset'
}

export interface RawCall {
  /** Origin of a host. */
  readonly address: string
  /** Head and body. */
  readonly message: string
  /** How long nothing is read, in milliseconds. */
  readonly pauseMs?: number
}

export async function rawCall ({ address, message, pauseMs = 0 }: RawCall): Promise<RawAnswer> {
  const { hostname, port } = new URL(address)
  const pieces: Buffer[] = []
  return await new Promise((resolve, reject) => {
    const told = (end: RawAnswer['end']): void => { resolve({ text: Buffer.concat(pieces).toString(), end }) }
    const take = (length: number, buffer: Uint8Array): boolean => {
      pieces.push(Buffer.from(buffer.subarray(0, length)))
      // Read on within this turn, a reset that has come already would be told as an end.
      setImmediate(() => { socket.resume() })
      return false
    }
    const socket = connect({ host: hostname, port: Number(port), onread: { buffer: Buffer.alloc(65_536), callback: take } })
    socket.pause()
    setTimeout(() => { socket.resume() }, pauseMs)
    socket.once('end', () => { told('ended') })
    socket.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNRESET') told('reset')
      else reject(error)
    })
    socket.write(message)
  })
}
