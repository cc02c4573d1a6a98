/** How the descriptors of a process are shared between its addresses. */

import { expect } from 'chai'
import { connectionShares } from '../../../src/core/common/overload/connectionShares.ts'

describe('the connections of each address', () => {
  it('leave a part of the descriptors to the connections to targets and to the store', () => {
    expect([1000, 3075, 8200].map((descriptors) => connectionShares(4000, descriptors))).toMatchSnapshot()
    for (const descriptors of [1000, 3075, 8200]) {
      const shared = Object.values(connectionShares(4000, descriptors)).reduce((sum: number, share: number) => sum + share, 0)
      expect(shared).to.be.at.most((descriptors - 200) * 0.8)
    }
  })

  it('have the configured limit if the descriptors are not known or many', () => {
    expect(connectionShares(100, undefined)).to.deep.equal(connectionShares(100, 100_000))
    expect(connectionShares(100, undefined).metrics).to.equal(100)
  })
})
