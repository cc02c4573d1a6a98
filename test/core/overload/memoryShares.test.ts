/** How the memory of a process is shared. */

import { expect } from 'chai'
import { memoryShares } from '../../../src/core/common/overload/memoryShares.ts'

const HELD_BYTES = 67_108_864

describe('the memory of a process', () => {
  it('is shared by its size, and has room for the largest usual body on the smallest machine', () => {
    expect(Object.fromEntries([210, 250, 360, 602].map((memoryMb) => [memoryMb, memoryShares(HELD_BYTES, memoryMb)]))).toMatchSnapshot()
  })

  it('has the configured limit for clients if its size is not known', () => {
    expect(memoryShares(HELD_BYTES, undefined)).to.deep.equal({ clientBytes: HELD_BYTES, collectAboveBytes: undefined })
  })
})
