/** Answers of targets that end in every way, read whole and as streams. */

import { expect } from 'chai'
import fc from 'fast-check'
import { Connections } from '../../src/adapters/node/connections.ts'
import { HttpTargetClient } from '../../src/adapters/node/httpTargetClient.ts'
import type { TargetRequest } from '../../src/ports/common/targetClient.ts'
import { pause } from '../../standins/httpStandIn.ts'
import type { AnswerCase, EndingCase, Told } from '../support/answerEndings.ts'
import { endingCases, play } from '../support/answerEndings.ts'

const settings = { connections: 8, connectTimeoutMs: 500, silenceMs: 3000, maximumAnswerBytes: 10_000_000 }
/** More cases, or others, are drawn by hand. */
const CASES = Number(process.env.CASES ?? 60)
const SEED = Number(process.env.SEED ?? 11)

describe('answers that end in every way', () => {
  /** What is wrong with what a client told of the answers of a case. */
  async function told (endings: EndingCase): Promise<string[]> {
    const connections = new Connections(settings)
    const client = new HttpTargetClient(connections, settings)
    try {
      return await play(endings, async (...details) => await read(client, ...details))
    } finally {
      connections.dispose()
    }
  }

  async function read (client: HttpTargetClient, address: string, path: string, { ownConnection, way, pausesMs }: AnswerCase): Promise<Told> {
    const request: TargetRequest = { address, method: 'GET', path, headers: [], body: undefined, ownConnection, signal: AbortSignal.timeout(8000) }
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

  it('are told to their end to a reader that pauses over it', async () => {
    // Guards against an exception out of the library's parser, which is still paused over the last bytes when the end of the connection comes.
    const answers = [[60_000, 10_000], [65_536, 65_536, 10_240], [40_000, 30_000, 1]].map((partBytes): AnswerCase => ({ framing: 'none', closing: true, partBytes, gapMs: 3, ending: 'end', ownConnection: true, way: 'stream', pausesMs: [20] }))
    expect(await told({ answers, busyMs: 0 })).to.deep.equal([])
  })

  it('are told whole if and only if they are, and end no process', async function () {
    // Guards against cut answers that pass for whole ones, whole ones that are lost, and errors outside of any call.
    this.timeout(CASES * 1000)
    await fc.assert(fc.asyncProperty(endingCases, async (endings) => {
      expect(await told(endings)).to.deep.equal([])
    }), { seed: SEED, numRuns: CASES, endOnFailure: true })
  })
})
