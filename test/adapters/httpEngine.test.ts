/** Tests the engine adapter against engines that violate the protocol. */

import { expect } from 'chai'
import type { CompletionStream } from '../../src/ports/common/targets.ts'
import { StreamBrokenError } from '../../src/ports/common/targets.ts'
import { ConnectionPools } from '../../src/adapters/node/connectionPools.ts'
import { HttpEngine } from '../../src/adapters/node/httpEngine.ts'
import { sendJson, startStandIn } from '../../standins/httpStandIn.ts'

const validEvent = { id: 'r', choices: [{ index: 0, text: 'a', finish_reason: null }], weight_version: 1, tokens: 1 }
const lastEvent = { ...validEvent, choices: [{ index: 0, text: 'b', finish_reason: 'stop' }] }

const streams: readonly { name: string, events: readonly string[], texts: readonly string[], broken: boolean }[] = [
  { name: 'a complete stream', events: [JSON.stringify(validEvent), JSON.stringify(lastEvent), '[DONE]'], texts: ['a', 'b'], broken: false },
  { name: 'an event of another request', events: [JSON.stringify(validEvent), JSON.stringify({ ...lastEvent, id: 'other' })], texts: ['a'], broken: true },
  { name: 'an event that is not JSON', events: [JSON.stringify(validEvent), '{'], texts: ['a'], broken: true },
  { name: 'an event without a version', events: [JSON.stringify({ ...validEvent, weight_version: undefined })], texts: [], broken: true },
  { name: 'an event without a choice', events: [JSON.stringify({ ...validEvent, choices: [] })], texts: [], broken: true },
  { name: 'an end before the last part', events: [JSON.stringify(validEvent), '[DONE]'], texts: ['a'], broken: true }
]

describe('the engine adapter', () => {
  const connections = new ConnectionPools({ connections: 4, connectTimeoutMs: 500, inactivityTimeoutMs: 500, maximumAnswerBytes: 100_000 })
  const engine = new HttpEngine(connections, 500)

  after(() => { connections.dispose() })

  async function read (stream: CompletionStream): Promise<{ texts: string[], broken: boolean }> {
    const texts: string[] = []
    try {
      for await (const part of stream.parts) texts.push(part.text)
      return { texts, broken: false }
    } catch (error) {
      expect(error).to.be.instanceOf(StreamBrokenError)
      return { texts, broken: true }
    }
  }

  for (const { name, events, texts, broken } of streams) {
    /*
     * Guards against a caller that receives a part of another caller's response, or a truncated response as
     * complete: the engine mixes up streams or ends one early, and events are forwarded without validation.
     */
    it(`reads ${name} and detects violations`, async () => {
      const standIn = await startStandIn(({ response }) => {
        response.writeHead(200, { 'content-type': 'text/event-stream' })
        let index = 0
        const timer = setInterval(() => {
          const event = events[index++]
          if (event !== undefined) response.write(`data: ${event}\n\n`)
          else {
            clearInterval(timer)
            response.end()
          }
        }, 5)
      })
      const stream = await engine.complete(standIn.address, { requestId: 'r', prompt: 'p', maximumTokens: 2, priority: 0 })
      if (!stream.ok) throw new Error(stream.message)
      expect(await read(stream.value)).to.deep.equal({ texts, broken })
      await standIn.close()
    })
  }

  const refusals: readonly { name: string, status: number, headers: Record<string, string>, code: string }[] = [
    { name: 'refuses before running', status: 503, headers: { 'x-not-run': 'true' }, code: 'targetRefused' },
    { name: 'fails without the not-run header', status: 500, headers: {}, code: 'unknownOutcome' }
  ]
  for (const { name, status, headers, code } of refusals) {
    it(`gives ${code} for an engine that ${name}`, async () => {
      const standIn = await startStandIn(({ response }) => { sendJson(response, status, {}, headers) })
      const answer = await engine.complete(standIn.address, { requestId: 'r', prompt: 'p', maximumTokens: 2, priority: 0 })
      expect(answer.ok ? '' : answer.code).to.equal(code)
      await standIn.close()
    })
  }

  it('gives targetUnreachable if no process listens', async () => {
    const answer = await engine.complete('http://127.0.0.1:1', { requestId: 'r', prompt: 'p', maximumTokens: 2, priority: 0 })
    expect(answer.ok ? '' : answer.code).to.equal('targetUnreachable')
  })
})
