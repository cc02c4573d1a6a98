/** Addresses that other processes announce. */

import { expect } from 'chai'
import { parseAddress } from '../../src/base/common/address.ts'

describe('a network address', () => {
  it('is an IPv4 address with a port', () => {
    expect(parseAddress('10.0.0.1:80')).to.deep.equal({ ip: '10.0.0.1', port: 80 })
    expect(parseAddress('255.255.255.255:65535')).to.deep.equal({ ip: '255.255.255.255', port: 65_535 })
  })

  it('is nothing else', () => {
    // Guards against requests that are prepared for an address to which no connection can be opened.
    const texts = ['', ':', '10.0.0.1', '10.0.0.1:', '10.0.0.1:0', '10.0.0.1:080', '10.0.0.1:65536', '10.0.0.1:81640', '10.0.0.1:+80', '10.0.0.1:8e1', '10.0.0.1:80 ', ' 10.0.0.1:80', '10.0.0.1:80\n', '10.0.0.1:80/x', '10.0.0.1:80:80', '256.0.0.1:80', '010.0.0.1:80', '10.0.1:80', '10.0.0.0.1:80', '167772161:80', 'localhost:80', '[::1]:80', 'user@10.0.0.1:80']
    expect(texts.filter((text) => parseAddress(text) !== undefined)).to.deep.equal([])
  })
})
