import { expect } from 'chai'
import type { ConfigurationSource } from '../../../src/actors/common/identity/callerAuthenticator.ts'
import { CallerAuthenticator } from '../../../src/actors/common/identity/callerAuthenticator.ts'
import { asKeyDigest, asWorkspaceName } from '../../../src/base/common/ids.ts'
import type { CallerIdentity, PresentedKey } from '../../../src/core/common/identity/workspaces.ts'
import { RouteTable } from '../../../src/core/common/routes/routeConfiguration.ts'
import type { Instant } from '../../../src/base/common/instant.ts'
import { currentInstant } from '../../../src/ports/common/clock.ts'
import { ManualClock } from '../../support/manualClock.ts'

const key: PresentedKey = { type: 'key', digest: asKeyDigest('valid') }
const other: PresentedKey = { type: 'key', digest: asKeyDigest('other') }

function tableWith (digests: readonly string[]): RouteTable {
  const workspaces = [{ name: asWorkspaceName('acme'), keys: digests.map(asKeyDigest), priority: undefined }]
  return new RouteTable({ version: 1, routes: [], services: [], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }, workspaces })
}

/** A host's view of a configuration that changes in the store. */
class FakeConfigurationSource implements ConfigurationSource {
  routes = tableWith(['valid'])
  /** The configuration that the store holds. */
  stored = this.routes
  readAt: Instant | undefined
  isLost = false
  answerMs = 4
  reads = 0

  constructor (private readonly clock: ManualClock) {
    this.readAt = currentInstant(clock)
  }

  async catchUp (): Promise<boolean> {
    this.reads++
    const sent = currentInstant(this.clock)
    const held = this.stored
    await new Promise<void>((resolve) => { this.clock.after(this.answerMs, resolve) })
    if (this.isLost) return false
    this.routes = held
    this.readAt = sent
    return true
  }
}

function createFixture (): { clock: ManualClock, source: FakeConfigurationSource, ask: (asked?: PresentedKey) => Promise<string>, recheck: (accepted?: CallerIdentity) => string } {
  const clock = new ManualClock()
  const source = new FakeConfigurationSource(clock)
  const gate = new CallerAuthenticator({ operator: source, clock }, { maxRevocationDelayMs: 5000 })
  const ask = async (asked = key): Promise<string> => {
    const answer = gate.authenticate(asked, false)
    await clock.advance(400)
    const result = await answer
    return result.ok ? result.value.type : `${result.code} ${result.retryAfterMs ?? ''}`.trim()
  }
  const recheck = (accepted: CallerIdentity = { type: 'workspace', name: asWorkspaceName('acme'), priority: undefined }): string => {
    const failed = gate.recheck(key, false, accepted)
    return failed === undefined ? 'valid' : `${failed.code} ${failed.retryAfterMs ?? ''}`.trim()
  }
  return { clock, source, ask, recheck }
}

describe('CallerAuthenticator', () => {
  it('accepts a known key without a read', async () => {
    const { source, ask } = createFixture()
    expect(await ask()).to.equal('workspace')
    expect(source.reads).to.equal(0)
  })

  it('rejects a key that was revoked while the host was suspended, rather than accepting it by the configuration read before', async () => {
    const { clock, source, ask } = createFixture()
    source.stored = tableWith([])
    clock.suspend(6000)
    expect(await ask()).to.equal('unauthenticated')
  })

  it('accepts a key at once after a suspension if it is still valid', async () => {
    const { clock, source, ask } = createFixture()
    clock.suspend(6000)
    expect(await ask()).to.equal('workspace')
    expect(source.reads).to.equal(1)
  })

  it('rejects at once with a retry hint while the store has been unavailable for longer than keys may be accepted', async () => {
    const { clock, source, ask } = createFixture()
    source.isLost = true
    await clock.advance(4000)
    expect(await ask()).to.equal('workspace')
    await clock.advance(1000)
    expect(await ask()).to.equal('stale 1000')
    expect(source.reads).to.equal(0)
  })

  it('does not wait for a store that answers slowly', async () => {
    const { clock, source, ask } = createFixture()
    source.answerMs = 900
    clock.freeze(5001)
    expect(await ask()).to.equal('stale 300')
  })

  it('reads the configuration for a key that is newer than the last read', async () => {
    const { clock, source, ask } = createFixture()
    source.stored = tableWith(['valid', 'other'])
    await clock.advance(300)
    expect(await ask(other)).to.equal('workspace')
  })

  it('answers a flood of wrong keys with a few reads, as each read costs the store a call', async () => {
    const { clock, source } = createFixture()
    const gate = new CallerAuthenticator({ operator: source, clock }, { maxRevocationDelayMs: 5000 })
    const answers: Promise<unknown>[] = []
    for (let moment = 0; moment < 100; moment++) {
      await clock.advance(10)
      for (let caller = 0; caller < 50; caller++) answers.push(gate.authenticate(other, false))
    }
    await clock.advance(100)
    await Promise.all(answers)
    expect(source.reads).to.be.within(1, 5)
  })

  it('rechecks an accepted key without a read', () => {
    // Guards against calls that run after they waited although their key was revoked in the meantime, or may have been.
    const { clock, source, recheck } = createFixture()
    expect(recheck()).to.equal('valid')
    source.routes = tableWith([])
    expect(recheck()).to.equal('unauthenticated')
    clock.freeze(3000)
    expect(recheck()).to.equal('unauthenticated')
    source.routes = tableWith(['valid'])
    expect(recheck()).to.equal('valid')
    clock.freeze(3000)
    expect(recheck()).to.equal('stale 300')
    source.isLost = true
    expect(recheck()).to.equal('stale 1000')
    expect(source.reads).to.equal(0)
  })

  it('rejects an accepted key that now belongs to another workspace', () => {
    const { recheck } = createFixture()
    expect(recheck({ type: 'workspace', name: asWorkspaceName('former'), priority: undefined })).to.equal('stale 0')
  })
})
