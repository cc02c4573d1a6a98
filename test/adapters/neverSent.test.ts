/** Which errors prove that nothing was sent. */

import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import { request } from 'undici'
import { neverSent } from '../../src/adapters/node/connections.ts'

/** An error as Node's sockets give it. */
const systemError = (code: string, syscall: string): Error => Object.assign(new Error(`${syscall} ${code}`), { code, syscall })

describe('the proof that nothing was sent', () => {
  it('is an error of connecting', async () => {
    const closed = createServer()
    await new Promise<void>((resolve) => { closed.listen(0, '127.0.0.1', resolve) })
    const { port } = closed.address() as AddressInfo
    await new Promise((resolve) => { closed.close(resolve) })
    const error: unknown = await request(`http://127.0.0.1:${port}/`, { method: 'POST', body: 'x' }).catch((caught: unknown) => caught)
    expect(neverSent(error)).to.equal(true)
    for (const code of ['EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL']) expect(neverSent(systemError(code, 'connect'))).to.equal(true)
  })

  it('is not an error of a connection that had been made', () => {
    // A router that loses its way to the other end answers packets of a connection that is in use, and its
    // socket fails with the code of a failed connect, after the request has left.
    for (const syscall of ['read', 'write']) {
      for (const code of ['EHOSTUNREACH', 'ENETUNREACH', 'ECONNRESET']) expect(neverSent(systemError(code, syscall)), `${syscall} ${code}`).to.equal(false)
    }
  })
})
