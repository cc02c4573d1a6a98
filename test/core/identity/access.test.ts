import { expect } from 'chai'
import { asKeyDigest, asWorkspaceName } from '../../../src/base/common/ids.ts'
import type { AccessCheck } from '../../../src/core/common/identity/access.ts'
import { decideAccess } from '../../../src/core/common/identity/access.ts'
import { elapsedMs, isWithin } from '../../../src/base/common/instant.ts'
import { WorkspaceKeys, findConflict } from '../../../src/core/common/identity/workspaces.ts'

const valid = asKeyDigest('valid')
const acme = { name: asWorkspaceName('acme'), keys: [valid], priority: 1 }
const READ_AT = { monotonic: 10_000, wall: 1_000_000 }

function decide (details: Partial<AccessCheck> & { readonly afterMs?: number, readonly suspendedMs?: number } = {}): string {
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
  it('requires a key only if workspaces are configured and the route is not public', () => {
    expect(decide({ keys: undefined, key: { type: 'none' } })).to.equal('granted open')
    expect(decide({ isPublic: true, key: { type: 'none' } })).to.equal('granted anonymous')
    expect(decide()).to.equal('granted workspace')
  })

  it('is denied without a usable key', () => {
    expect([{ type: 'none' } as const, { type: 'unusable', why: 'a request carries one key' } as const].map((key) => decide({ key }))).toMatchSnapshot()
  })

  // Guards against a partitioned host that accepts a revoked key for the whole duration of the partition.
  it('ends when the last read is older than the revocation bound', () => {
    expect([0, 4800, 4901, 60_000].map((afterMs) => decide({ afterMs }))).toMatchSnapshot()
  })

  // The monotonic clock does not count the time of a suspension, while requests wait in the socket buffers.
  it('ends while the machine is suspended', () => {
    expect(decide({ suspendedMs: 6000 })).to.match(/^unsure/)
    expect(decide({ suspendedMs: 200 })).to.match(/^unsure/)
    expect(decide({ suspendedMs: 20 })).to.equal('granted workspace')
  })

  // A wall clock that was set back could hide a suspension.
  it('is unsure if the wall clock was set back', () => {
    expect(decide({ afterMs: 1000, suspendedMs: -2000 })).to.match(/^unsure/)
  })

  it('is unsure before the first complete read', () => {
    expect(decide({ readAt: undefined })).to.match(/^unsure/)
  })

  it('is granted at any age of the read if no bound is set', () => {
    expect(decide({ afterMs: 600_000, revocationMs: undefined })).to.equal('granted workspace')
  })

  // Guards against the rejection of a key that was added a moment ago.
  it('is denied to an unknown key only by a recent read', () => {
    const key = { type: 'key', digest: asKeyDigest('unknown') } as const
    expect([0, 250, 251, 60_000].map((afterMs) => decide({ key, afterMs }))).toMatchSnapshot()
    expect(decide({ key, suspendedMs: 1000 })).to.match(/^unsure/)
  })
})

describe('the age of a read', () => {
  it('is infinite if the monotonic and the wall clock disagree', () => {
    const since = { monotonic: 0, wall: 0 }
    expect(elapsedMs(since, { monotonic: 50, wall: 60 })).to.equal(60)
    expect(elapsedMs(since, { monotonic: 50, wall: 500 })).to.equal(Number.POSITIVE_INFINITY)
    expect(elapsedMs(undefined, since)).to.equal(Number.POSITIVE_INFINITY)
    expect(isWithin(5000, since, { monotonic: 4901, wall: 4901 })).to.equal(false)
  })
})

describe('workspaces', () => {
  it('cannot share a key or a name', () => {
    expect(findConflict([acme, { ...acme, name: asWorkspaceName('other') }])).to.equal('workspaces acme and other have a key in common')
    expect(findConflict([acme, acme])).to.equal('workspace acme is defined twice')
    expect(findConflict([acme, { name: asWorkspaceName('other'), keys: [], priority: undefined }])).to.equal(undefined)
  })
})
