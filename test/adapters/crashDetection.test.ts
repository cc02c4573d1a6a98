/** Tests the listen probe and the request fingerprints that crash detection relies on. */

import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import { ConnectionPools } from '../../src/adapters/node/connectionPools.ts'
import { HttpTargetClient } from '../../src/adapters/node/httpTargetClient.ts'
import { KeepAliveConnections } from '../../src/adapters/node/keepAliveConnections.ts'
import { sha256Fingerprints } from '../../src/adapters/node/sha256Fingerprints.ts'
import type { RequestContent } from '../../src/ports/common/fingerprints.ts'

const settings = { connections: 2, connectTimeoutMs: 500, inactivityTimeoutMs: 2000, maximumAnswerBytes: 10_000 }

describe('the listen probe', () => {
  it('yields yes while a process listens, and no once it has ended', async () => {
    const connections = new ConnectionPools(settings)
    const client = new HttpTargetClient(connections, settings)
    const server = createServer((socket) => { socket.resume() })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    expect(await client.listens(address)).to.equal('yes')
    await new Promise((resolve) => { server.close(resolve) })
    expect(await client.listens(address)).to.equal('no')
    connections.dispose()
  })
})

describe('a request to an address that is not IP:PORT', () => {
  it('fails as a request that was not sent, and its address is not known to be closed', async () => {
    // Guards against an exception in place of a result, after which the request counts as running for good.
    const connections = new ConnectionPools(settings)
    const kept = new KeepAliveConnections(settings)
    const client = new HttpTargetClient(connections, settings, kept)
    for (const address of ['127.0.0.1:81640', '127.0.0.1:x', 'a b:80', '']) {
      for (const ownConnection of [false, true]) {
        for (const keepsIdle of [false, true]) {
          const request = { address, method: 'GET', path: '/', headers: [], body: undefined, ownConnection, keepsIdle, signal: new AbortController().signal }
          const answers = await Promise.all([client.exchange(request), client.open(request)])
          expect(answers.map((answer) => answer.ok || answer.code), address).to.deep.equal(['targetUnreachable', 'targetUnreachable'])
        }
      }
      expect(await client.listens(address), address).to.equal('unknown')
    }
    connections.dispose()
    kept.dispose()
  })
})

describe('the fingerprint of a request', () => {
  const content: RequestContent = { host: 'h', method: 'POST', path: '/a/?b=1', caller: undefined, body: 'text' }

  it('is the same for each repeat, and for a text and its bytes', () => {
    expect(sha256Fingerprints.of(content)).to.equal(sha256Fingerprints.of({ ...content, body: new TextEncoder().encode('text') }))
    expect(sha256Fingerprints.of(content)).to.match(/^[0-9a-f]{32}$/)
  })

  it('differs if any part differs, also if the parts are split differently', () => {
    const changes: Partial<RequestContent>[] = [{ host: 'i' }, { method: 'PUT' }, { path: '/a/' }, { caller: 'Token x' }, { body: 'texu' }, { body: undefined }, { host: 'hP', method: 'OST' }]
    const fingerprints = [content, ...changes.map((other) => ({ ...content, ...other }))].map((each) => sha256Fingerprints.of(each))
    expect(new Set(fingerprints).size).to.equal(fingerprints.length)
  })
})
