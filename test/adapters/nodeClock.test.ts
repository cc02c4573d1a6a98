/** Timers of a process that was paused while data arrived. */

import { once } from 'node:events'
import type { AddressInfo, Socket } from 'node:net'
import { connect, createServer } from 'node:net'
import { expect } from 'chai'
import { NodeClock } from '../../src/adapters/node/nodeClock.ts'

const TIME_LIMIT_MS = 20
const PAUSE_MS = 150

describe('a time limit that passes while the process is paused', () => {
  const clock = new NodeClock()
  const order: string[] = []
  let sender: Socket
  let receiver: Socket
  let server: ReturnType<typeof createServer>

  beforeEach(async () => {
    order.length = 0
    server = createServer((socket) => { sender = socket }).listen(0, '127.0.0.1')
    await once(server, 'listening')
    receiver = connect((server.address() as AddressInfo).port, '127.0.0.1')
    await Promise.all([once(server, 'connection'), once(receiver, 'connect')])
    receiver.on('data', () => { order.push('data') })
  })
  afterEach(() => {
    receiver.destroy()
    server.close()
  })

  /** Sends data and blocks this process, in the phase of the event loop that is followed by its timers. */
  async function sendAndPause (): Promise<void> {
    await new Promise<void>((resolve) => {
      setImmediate(() => {
        sender.write('x')
        Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, PAUSE_MS)
        resolve()
      })
    })
  }

  const pause = async (milliseconds: number): Promise<void> => { await new Promise((resolve) => setTimeout(resolve, milliseconds)) }

  it('ends after the data that arrived meanwhile has been read', async () => {
    // Guards against streams that are given up as silent although their events were waiting for this host.
    clock.after(TIME_LIMIT_MS, () => { order.push('limit') })
    await sendAndPause()
    await pause(PAUSE_MS)
    expect(order).to.deep.equal(['data', 'limit'])
  })

  it('does not end if the data that arrived meanwhile ended it', async () => {
    const limit = clock.after(TIME_LIMIT_MS, () => { order.push('limit') })
    receiver.on('data', () => { limit.dispose() })
    await sendAndPause()
    await pause(PAUSE_MS)
    expect(order).to.deep.equal(['data'])
  })
})
