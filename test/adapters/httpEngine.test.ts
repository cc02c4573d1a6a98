/** The engines' adapter against engines that speak wrongly. */

import { expect } from 'chai'
import type { CompletionStream } from '../../src/ports/common/targets.ts'
import { StreamBroken } from '../../src/ports/common/targets.ts'
import { Connections } from '../../src/adapters/node/connections.ts'
import { HttpEngine } from '../../src/adapters/node/httpEngine.ts'
import { sendJson, startStandIn } from '../../standins/httpStandIn.ts'

const good = { id: 'r', choices: [{ index: 0, text: 'a', finish_reason: null }], weight_version: 1, tokens: 1 }
const last = { ...good, choices: [{ index: 0, text: 'b', finish_reason: 'stop' }] }

const streams: readonly { name: string, events: readonly string[], texts: readonly string[], broken: boolean }[] = [
  { name: 'a whole stream', events: [JSON.stringify(good), JSON.stringify(last), '[DONE]'], texts: ['a', 'b'], broken: false },
  { name: 'an event of another request', events: [JSON.stringify(good), JSON.stringify({ ...last, id: 'other' })], texts: ['a'], broken: true },
  { name: 'an event that is not JSON', events: [JSON.stringify(good), '{'], texts: ['a'], broken: true },
  { name: 'an event without a version', events: [JSON.stringify({ ...good, weight_version: undefined })], texts: [], broken: true },
  { name: 'an event without a choice', events: [JSON.stringify({ ...good, choices: [] })], texts: [], broken: true },
  { name: 'an end before the last part', events: [JSON.stringify(good), '[DONE]'], texts: ['a'], broken: true }
]

describe("the engines' adapter", () => {
  const connections = new Connections({ connections: 4, connectTimeoutMs: 500, silenceMs: 500, maximumAnswerBytes: 100_000 })
  const engine = new HttpEngine(connections, 500)

  after(() => { connections.dispose() })

  async function read (stream: CompletionStream): Promise<{ texts: string[], broken: boolean }> {
    const texts: string[] = []
    try {
      for await (const part of stream.parts) texts.push(part.text)
      return { texts, broken: false }
    } catch (error) {
      expect(error).to.be.instanceOf(StreamBroken)
      return { texts, broken: true }
    }
  }

  for (const { name, events, texts, broken } of streams) {
    /*
     * Symptom: a caller is shown a part of another caller's answer, or half an answer as whole.
     * Sequence: the engine mixes streams up, or ends one early.
     * Cause: events are passed on by the connection they came on, unread.
     */
    it(`reads ${name} as it is`, async () => {
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
    { name: 'fails without saying so', status: 500, headers: {}, code: 'unknownOutcome' }
  ]
  for (const { name, status, headers, code } of refusals) {
    it(`gives ${code} for an engine that ${name}`, async () => {
      const standIn = await startStandIn(({ response }) => { sendJson(response, status, {}, headers) })
      const answer = await engine.complete(standIn.address, { requestId: 'r', prompt: 'p', maximumTokens: 2, priority: 0 })
      expect(answer.ok ? '' : answer.code).to.equal(code)
      await standIn.close()
    })
  }

  it('gives targetUnreachable where nothing listens', async () => {
    const answer = await engine.complete('http://127.0.0.1:1', { requestId: 'r', prompt: 'p', maximumTokens: 2, priority: 0 })
    expect(answer.ok ? '' : answer.code).to.equal('targetUnreachable')
  })
})
