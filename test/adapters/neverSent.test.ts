/** Tests which errors prove that nothing was sent. */

import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import { request } from 'undici'
import { isNeverSent } from '../../src/adapters/node/connectionPools.ts'

/** Creates an error as Node's sockets report it. */
const systemError = (code: string, syscall: string): Error => Object.assign(new Error(`${syscall} ${code}`), { code, syscall })

describe('the proof that nothing was sent', () => {
  it('is a connection error', async () => {
    const closed = createServer()
    await new Promise<void>((resolve) => { closed.listen(0, '127.0.0.1', resolve) })
    const { port } = closed.address() as AddressInfo
    await new Promise((resolve) => { closed.close(resolve) })
    const error: unknown = await request(`http://127.0.0.1:${port}/`, { method: 'POST', body: 'x' }).catch((caught: unknown) => caught)
    expect(isNeverSent(error)).to.equal(true)
    for (const code of ['EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL']) expect(isNeverSent(systemError(code, 'connect'))).to.equal(true)
  })

  it('is not an error of an established connection', () => {
    // A router that loses its route to the peer rejects packets of an established connection. The socket then
    // fails with the code of a failed connect, although the request has been sent.
    for (const syscall of ['read', 'write']) {
      for (const code of ['EHOSTUNREACH', 'ENETUNREACH', 'ECONNRESET']) expect(isNeverSent(systemError(code, syscall)), `${syscall} ${code}`).to.equal(false)
    }
  })
})
