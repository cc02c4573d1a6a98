/** Parsing of request targets, which clients may fill with any text. */

import { expect } from 'chai'
import { parseRequestTarget } from '../../src/entry/node/requestTarget.ts'

describe('a request target', () => {
  it('is split into path and query, or rejected if it is not a path', () => {
    // Guards against an exception for a target that is not a URL, which ended the process.
    const targets = ['/', '/a/b?c=d&e', '/a?', '//', '//:0/', '/\\', '/%zz?%', '/[', 'http://host/a?b=c', 'http://host', 'http://host?b', 'HTTP://[::1]:8080/a', '*', '', '?', '\\', 'http://', 'http:////', 'host:443']
    expect(Object.fromEntries(targets.map((target) => {
      const parsed = parseRequestTarget(target)
      return [target, parsed.ok ? { path: parsed.value.path, query: parsed.value.query.toString(), pathAndQuery: parsed.value.pathAndQuery } : parsed.code]
    }))).toMatchSnapshot()
  })
})
