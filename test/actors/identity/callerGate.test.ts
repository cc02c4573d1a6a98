import { expect } from 'chai'
import type { ConfigurationSource } from '../../../src/actors/common/identity/callerGate.ts'
import { CallerGate } from '../../../src/actors/common/identity/callerGate.ts'
import { asKeyDigest, asWorkspaceName } from '../../../src/base/common/ids.ts'
import type { PresentedKey } from '../../../src/core/common/identity/workspaces.ts'
import { RouteTable } from '../../../src/core/common/routes/routeConfiguration.ts'
import type { Instant } from '../../../src/base/common/instant.ts'
import { nowOf } from '../../../src/ports/common/clock.ts'
import { ManualClock } from '../../support/manualClock.ts'

const key: PresentedKey = { type: 'key', digest: asKeyDigest('valid') }
const other: PresentedKey = { type: 'key', digest: asKeyDigest('other') }

function tableWith (digests: readonly string[]): RouteTable {
  const workspaces = [{ name: asWorkspaceName('acme'), keys: digests.map(asKeyDigest), priority: undefined }]
  return new RouteTable({ version: 1, routes: [], services: [], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }, workspaces })
}

/** A host's view of a configuration that changes behind it. */
class Source implements ConfigurationSource {
  routes = tableWith(['valid'])
  /** What the store holds. */
  stored = this.routes
  readAt: Instant | undefined
  isLost = false
  answerMs = 4
  reads = 0

  constructor (private readonly clock: ManualClock) {
    this.readAt = nowOf(clock)
  }

  async catchUp (): Promise<boolean> {
    this.reads++
    const sent = nowOf(this.clock)
    const held = this.stored
    await new Promise<void>((resolve) => { this.clock.after(this.answerMs, resolve) })
    if (this.isLost) return false
    this.routes = held
    this.readAt = sent
    return true
  }
}

function scene (): { clock: ManualClock, source: Source, ask: (asked?: PresentedKey) => Promise<string> } {
  const clock = new ManualClock()
  const source = new Source(clock)
  const gate = new CallerGate({ operator: source, clock }, { revocationMs: 5000 })
  const ask = async (asked = key): Promise<string> => {
    const answer = gate.admit(asked, false)
    await clock.advance(400)
    const result = await answer
    return result.ok ? result.value.type : `${result.code} ${result.retryAfterMs ?? ''}`.trim()
  }
  return { clock, source, ask }
}

describe('the gate for callers', () => {
  it('takes a known key without a read', async () => {
    const { source, ask } = scene()
    expect(await ask()).to.equal('workspace')
    expect(source.reads).to.equal(0)
  })

  it('rejects a key that was taken away while the host was suspended: it was served by what the host knew before', async () => {
    const { clock, source, ask } = scene()
    source.stored = tableWith([])
    clock.suspend(6000)
    expect(await ask()).to.equal('unauthenticated')
  })

  it('serves at once after a suspension where the key is still there', async () => {
    const { clock, source, ask } = scene()
    clock.suspend(6000)
    expect(await ask()).to.equal('workspace')
    expect(source.reads).to.equal(1)
  })

  it('rejects at once, with when to come back, while the store is away for longer than keys may be accepted', async () => {
    const { clock, source, ask } = scene()
    source.isLost = true
    await clock.advance(4000)
    expect(await ask()).to.equal('workspace')
    await clock.advance(1000)
    expect(await ask()).to.equal('stale 1000')
    expect(source.reads).to.equal(0)
  })

  it('does not wait for a store that answers slowly', async () => {
    const { clock, source, ask } = scene()
    source.answerMs = 900
    clock.freeze(5001)
    expect(await ask()).to.equal('stale 300')
  })

  it('looks up a key that is newer than what the host has read', async () => {
    const { clock, source, ask } = scene()
    source.stored = tableWith(['valid', 'other'])
    await clock.advance(300)
    expect(await ask(other)).to.equal('workspace')
  })

  it('answers a flood of wrong keys with a few reads: each would cost the store a call', async () => {
    const { clock, source } = scene()
    const gate = new CallerGate({ operator: source, clock }, { revocationMs: 5000 })
    const answers: Promise<unknown>[] = []
    for (let moment = 0; moment < 100; moment++) {
      await clock.advance(10)
      for (let caller = 0; caller < 50; caller++) answers.push(gate.admit(other, false))
    }
    await clock.advance(100)
    await Promise.all(answers)
    expect(source.reads).to.be.within(1, 5)
  })
})
