/** Property-based tests of target responses that end in different ways, read completely and as streams. */

import { expect } from 'chai'
import fc from 'fast-check'
import { ConnectionPools } from '../../src/adapters/node/connectionPools.ts'
import { HttpTargetClient } from '../../src/adapters/node/httpTargetClient.ts'
import { KeepAliveConnections } from '../../src/adapters/node/keepAliveConnections.ts'
import type { TargetRequest } from '../../src/ports/common/targetClient.ts'
import { pause } from '../../standins/httpStandIn.ts'
import type { AnswerCase, EndingCase, ReceivedAnswer } from '../support/answerEndings.ts'
import { endingCases, runCase } from '../support/answerEndings.ts'

const settings = { connections: 8, connectTimeoutMs: 500, inactivityTimeoutMs: 3000, maximumAnswerBytes: 10_000_000 }
/** The environment variables select more or different cases in manual runs. */
const CASES = Number(process.env.CASES ?? 60)
const SEED = Number(process.env.SEED ?? 11)

describe('responses that end in different ways', () => {
  /** Returns the mismatches between the responses of a case and what a client reports of them. */
  async function findMismatches (endings: EndingCase, keepsIdle: boolean): Promise<string[]> {
    const connections = new ConnectionPools(settings)
    const keepAlive = new KeepAliveConnections(settings)
    const client = new HttpTargetClient(connections, settings, keepAlive)
    try {
      return await runCase(endings, async (...details) => await readResponse(client, keepsIdle, ...details))
    } finally {
      connections.dispose()
      keepAlive.dispose()
    }
  }

  async function readResponse (client: HttpTargetClient, keepsIdle: boolean, address: string, path: string, { isNewConnection: ownConnection, way, readerPausesMs: pausesMs }: AnswerCase): Promise<ReceivedAnswer> {
    const request: TargetRequest = { address, method: 'GET', path, headers: [], body: undefined, ownConnection, keepsIdle, signal: AbortSignal.timeout(8000) }
    if (way === 'whole') {
      const answer = await client.exchange(request)
      return answer.ok ? { bytes: Buffer.from(answer.value.body), whole: true } : { bytes: Buffer.alloc(0), whole: false }
    }
    const stream = await client.open(request)
    if (!stream.ok) return { bytes: Buffer.alloc(0), whole: false }
    const pieces: Uint8Array[] = []
    let whole = true
    try {
      for await (const piece of stream.value.pieces) {
        pieces.push(piece)
        const pauseMs = pausesMs[pieces.length % pausesMs.length] ?? 0
        if (pauseMs > 0) await pause(pauseMs)
      }
    } catch {
      whole = false
    }
    return { bytes: Buffer.concat(pieces), whole }
  }

  for (const { connectionKind, keepsIdle } of [{ connectionKind: 'pooled connections', keepsIdle: false }, { connectionKind: 'connections that are kept while idle', keepsIdle: true }]) {
    it(`are delivered completely to a reader that pauses before the end, over ${connectionKind}`, async () => {
      // Guards against an exception in the library's parser, which is still paused over the last bytes when the connection ends.
      const answers = [[60_000, 10_000], [65_536, 65_536, 10_240], [40_000, 30_000, 1]].map((partBytes): AnswerCase => ({ framing: 'none', closing: true, partBytes, partDelayMs: 3, ending: 'end', isNewConnection: true, way: 'stream', readerPausesMs: [20] }))
      expect(await findMismatches({ answers, busyMs: 0 }, keepsIdle)).to.deep.equal([])
    })

    it(`are reported as complete if and only if they are, and never crash the process, over ${connectionKind}`, async function () {
      // Guards against truncated responses that are reported as complete, complete ones that are lost, and errors thrown outside of any call.
      this.timeout(CASES * 1000)
      await fc.assert(fc.asyncProperty(endingCases, async (endings) => {
        expect(await findMismatches(endings, keepsIdle)).to.deep.equal([])
      }), { seed: SEED, numRuns: CASES, endOnFailure: true })
    })
  }
})
