/** Unexpected errors on the way of an item, from its payload to its result: each item is still completed. */

import { expect } from 'chai'
import { failure, success } from '../../../src/base/common/resultCode.ts'
import type { Listening, TargetClient, TargetRequest } from '../../../src/ports/common/targetClient.ts'
import { SchedulerHarness } from '../../support/schedulerHarness.ts'
import { newItem } from '../../support/steps.ts'

const items = [newItem('a', 'g', 100, 'score-a'), newItem('b', 'g', 100, 'score-b'), newItem('c', 'h', 100, 'score-c')]
const COMPLETION_TIME_MS = 5000

/** Engines that answer each item with two events; at one address every call throws. */
class EngineClient implements TargetClient {
  constructor (private readonly throwingAddress: string | undefined) {}

  async open ({ address, headers }: TargetRequest): ReturnType<TargetClient['open']> {
    if (address === this.throwingAddress) throw new TypeError('Invalid URL')
    const id = headers[headers.indexOf('bulrushvalve-request-id') + 1] ?? ''
    const resumeAfter = headers.indexOf('last-event-id')
    const first = resumeAfter < 0 ? 0 : Number(headers[resumeAfter + 1]) + 1
    const pieces = (async function * () { for (let number = first; number < 2; number++) yield new TextEncoder().encode(`id: ${number}\ndata: ${id}-${number}\n\n`) })()
    return success({ status: 200, headers: { 'bulrushvalve-request-id': id, 'bulrushvalve-response-seal': 's', 'bulrushvalve-weight-versions': '1' }, pieces, cancel: () => undefined })
  }

  async exchange (): ReturnType<TargetClient['exchange']> {
    return failure('targetUnreachable', 'not used')
  }

  async listens (address: string): Promise<Listening> {
    if (address === this.throwingAddress) throw new TypeError('Invalid URL')
    return 'yes'
  }

  retireConnections (): void {}
}

/** Makes the first calls of an asynchronous method reject. */
function rejectFirst<Parameters extends unknown[], Value> (method: (...parameters: Parameters) => Promise<Value>, count: number): (...parameters: Parameters) => Promise<Value> {
  let remaining = count
  return async (...parameters) => {
    if (remaining-- > 0) throw new Error('unexpected error')
    return await method(...parameters)
  }
}

describe('an unexpected error', () => {
  let harness: SchedulerHarness
  afterEach(() => { harness.dispose() })

  async function completeStep (): Promise<void> {
    harness.setDuty(true)
    harness.submit('s', items)
    await harness.clock.advance(COMPLETION_TIME_MS)
    expect(harness.results('s').map(({ item, state }) => `${item} ${state}`).sort()).to.deep.equal(['a complete', 'b complete', 'c complete'])
    expect(harness.running.every((running) => running === 0), 'no engine has a run').to.equal(true)
  }

  it('in the client and in the check of an engine neither holds an item nor a slot of the engine', async () => {
    // Guards against an item that stays with a run which has ended: it never reaches another engine, and its slot never becomes free.
    harness = new SchedulerHarness(() => new EngineClient('bad'), ['bad', 'good'])
    await completeStep()
  })

  it('while the end of a run is handled lets the item run again', async () => {
    // Guards against an item that counts as running although its run has ended.
    harness = new SchedulerHarness(() => new EngineClient(undefined), ['good'])
    let errors = 2
    const decided = harness.log.decided.bind(harness.log)
    harness.log.decided = (what, details) => {
      if (what === 'run ended' && errors-- > 0) throw new Error('unexpected error')
      decided(what, details)
    }
    await completeStep()
  })

  it('of the scorer lets the sample be scored later', async () => {
    // Guards against a finished sample that is never listed.
    harness = new SchedulerHarness(() => new EngineClient(undefined), ['good'])
    harness.score = rejectFirst(harness.score, 2)
    await completeStep()
  })

  it('while payloads are read lets the step start later', async () => {
    // Guards against a step of which no item ever starts.
    harness = new SchedulerHarness(() => new EngineClient(undefined), ['good'])
    harness.contents.payloads = rejectFirst(harness.contents.payloads.bind(harness.contents), 1)
    await completeStep()
  })

  it('while a result is written lets it be written later', async () => {
    // Guards against a scored sample that is never listed.
    harness = new SchedulerHarness(() => new EngineClient(undefined), ['good'])
    harness.contents.saveText = rejectFirst(harness.contents.saveText.bind(harness.contents), 2)
    await completeStep()
  })

  it('while saved progress is read does not prevent a new holder from running the steps', async () => {
    // Guards against steps that no host runs after a takeover, while the new holder keeps its duty.
    harness = new SchedulerHarness(() => new EngineClient(undefined), ['good'])
    harness.submit('s', items)
    await harness.clock.advance(100)
    harness.history.readAll = rejectFirst(harness.history.readAll.bind(harness.history), 1)
    harness.setDuty(true)
    await harness.clock.advance(COMPLETION_TIME_MS)
    expect(harness.results('s')).to.have.length(3)
  })
})
