import { expect } from 'chai'
import { asKeyDigest, asWorkspaceName } from '../../../src/base/common/ids.ts'
import type { AccessQuestion } from '../../../src/core/common/identity/access.ts'
import { decideAccess } from '../../../src/core/common/identity/access.ts'
import { elapsedMs, isWithin } from '../../../src/base/common/instant.ts'
import { WorkspaceKeys, findClash } from '../../../src/core/common/identity/workspaces.ts'

const valid = asKeyDigest('valid')
const acme = { name: asWorkspaceName('acme'), keys: [valid], priority: 1 }
const READ_AT = { monotonic: 10_000, wall: 1_000_000 }

function ask (details: Partial<AccessQuestion> & { readonly afterMs?: number, readonly suspendedMs?: number } = {}): string {
  const { afterMs = 0, suspendedMs = 0, ...question } = details
  const access = decideAccess({
    key: { type: 'key', digest: valid },
    isPublic: false,
    keys: new WorkspaceKeys([acme, { name: asWorkspaceName('empty'), keys: [], priority: undefined }]),
    readAt: READ_AT,
    now: { monotonic: READ_AT.monotonic + afterMs, wall: READ_AT.wall + afterMs + suspendedMs },
    revocationMs: 5000,
    ...question
  })
  return access.type === 'granted' ? `granted ${access.caller.type}` : `${access.type}: ${access.why}`
}

describe('access by keys', () => {
  it('is asked for only where the configuration has workspaces and the route is not public', () => {
    expect(ask({ keys: undefined, key: { type: 'none' } })).to.equal('granted open')
    expect(ask({ isPublic: true, key: { type: 'none' } })).to.equal('granted anonymous')
    expect(ask()).to.equal('granted workspace')
  })

  it('is denied without a usable key', () => {
    expect([{ type: 'none' } as const, { type: 'unusable', why: 'a request carries one key' } as const].map((key) => ask({ key }))).toMatchSnapshot()
  })

  it('ends with the time for which a removed key may be accepted: a host that is cut off served it for as long as the cut lasted', () => {
    expect([0, 4800, 4901, 60_000].map((afterMs) => ask({ afterMs }))).toMatchSnapshot()
  })

  it('ends while the machine is suspended: the monotonic clock does not count that time, and requests wait in the sockets', () => {
    expect(ask({ suspendedMs: 6000 })).to.match(/^unsure/)
    expect(ask({ suspendedMs: 200 })).to.match(/^unsure/)
    expect(ask({ suspendedMs: 20 })).to.equal('granted workspace')
  })

  it('is not sure where the time of day was set back: a suspension could hide behind it', () => {
    expect(ask({ afterMs: 1000, suspendedMs: -2000 })).to.match(/^unsure/)
  })

  it('waits for a first complete read', () => {
    expect(ask({ readAt: undefined })).to.match(/^unsure/)
  })

  it('holds at any age where no bound is set', () => {
    expect(ask({ afterMs: 600_000, revocationMs: undefined })).to.equal('granted workspace')
  })

  it('is denied to an unknown key only by fresh knowledge: a key that was added a moment ago was rejected', () => {
    const key = { type: 'key', digest: asKeyDigest('unknown') } as const
    expect([0, 250, 251, 60_000].map((afterMs) => ask({ key, afterMs }))).toMatchSnapshot()
    expect(ask({ key, suspendedMs: 1000 })).to.match(/^unsure/)
  })
})

describe('the age of knowledge', () => {
  it('is not told by clocks that disagree', () => {
    const since = { monotonic: 0, wall: 0 }
    expect(elapsedMs(since, { monotonic: 50, wall: 60 })).to.equal(60)
    expect(elapsedMs(since, { monotonic: 50, wall: 500 })).to.equal(Number.POSITIVE_INFINITY)
    expect(elapsedMs(undefined, since)).to.equal(Number.POSITIVE_INFINITY)
    expect(isWithin(5000, since, { monotonic: 4901, wall: 4901 })).to.equal(false)
  })
})

describe('workspaces', () => {
  it('cannot share a key or a name', () => {
    expect(findClash([acme, { ...acme, name: asWorkspaceName('other') }])).to.equal('workspaces acme and other have a key in common')
    expect(findClash([acme, acme])).to.equal('workspace acme is defined twice')
    expect(findClash([acme, { name: asWorkspaceName('other'), keys: [], priority: undefined }])).to.equal(undefined)
  })
})
