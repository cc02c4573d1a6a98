/** Shares of engines for several trainers, and when engines load weights. */

import { expect } from 'chai'
import fc from 'fast-check'
import { assignEngines, desiredEngineCounts } from '../../../src/core/common/weights/engineAssignment.ts'
import type { LoadableEngine, ModelDemand } from '../../../src/core/common/weights/loadPlan.ts'
import { maxParallelLoads, planLoads } from '../../../src/core/common/weights/loadPlan.ts'

const engines = (count: number) => Array.from({ length: count }, (_, index) => ({ id: `e${index}`, place: `p${index % 3}`, versions: new Map([['m', 1], ['n', 1], ['o', 1], ['p', 1]]) }))
const workload = (model: string, work = 100, namedVersion = 1) => ({ model, work, namedVersion })

describe('engine assignment', () => {
  it('assigns all engines to a single model', () => {
    expect([...assignEngines(engines(6), [workload('m')], new Map()).values()]).to.deep.equal(Array(6).fill('m'))
  })

  it('divides engines by the work of the models', () => {
    expect(Object.fromEntries(desiredEngineCounts(27, [workload('m', 300), workload('n', 200), workload('o', 100), workload('p', 75)]))).to.deep.equal({ m: 12, n: 8, o: 4, p: 3 })
  })

  it('keeps assignments while shares change by one engine', () => {
    const before = assignEngines(engines(6), [workload('m'), workload('n')], new Map())
    const after = assignEngines(engines(6), [workload('m', 140), workload('n', 100)], before)
    expect([...after]).to.deep.equal([...before])
  })

  it('spreads a model over failure domains', () => {
    const assigned = assignEngines(engines(6), [workload('m'), workload('n')], new Map())
    for (const model of ['m', 'n']) {
      expect(new Set(engines(6).filter(({ id }) => assigned.get(id) === model).map(({ place }) => place)).size).to.equal(3)
    }
  })

  it('replaces the lost engine of a model that had only one', () => {
    const before = new Map([['e0', 'n'], ['e1', 'm'], ['e2', 'm']])
    const after = assignEngines(engines(3).slice(1), [workload('m'), workload('n')], before)
    expect([...after.values()].sort()).to.deep.equal(['m', 'n'])
  })

  it('recovers the previous assignment from the weights of the engines', () => {
    // Failure: after a takeover, engines loaded weights of models that other engines already had.
    const weights = [[7, 1], [1, 8], [6, 1], [1, 8], [1, 7], [7, 2]]
    const known = weights.map(([m = 0, n = 0], index) => ({ id: `e${index}`, place: `p${index % 3}`, versions: new Map([['m', m], ['n', n]]) }))
    const assigned = assignEngines(known, [workload('m', 100, 7), workload('n', 100, 8)], new Map())
    expect(known.map(({ id }) => assigned.get(id))).to.deep.equal(['m', 'n', 'm', 'n', 'n', 'm'])
  })

  it('leaves no model without an engine and no engine without a model', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 30 }), fc.array(fc.integer({ min: 0, max: 5000 }), { minLength: 1, maxLength: 4 }), fc.array(fc.constantFrom('m', 'n', 'o', 'p', 'gone'), { maxLength: 30 }), (count, works, former) => {
      const shares = works.slice(0, count).map((work, index) => workload(['m', 'n', 'o', 'p'][index] ?? '', work, work % 7))
      const previous = new Map(former.map((model, index) => [`e${index}`, model]))
      const assigned = assignEngines(engines(count), shares, previous)
      expect(assigned.size).to.equal(count)
      for (const { model } of shares) expect([...assigned.values()]).to.include(model)
    }))
  })
})

describe('load planning', () => {
  const engine = (id: string, details: Partial<LoadableEngine> = {}): LoadableEngine => ({ id, follows: 'm', version: 4, running: 0, slots: 8, ordering: false, suspect: false, ...details })
  const demand = (details: Partial<ModelDemand> = {}): ModelDemand => ({ model: 'm', namedVersion: 5, minimumVersion: 4, ...details })
  const planned = (list: LoadableEngine[], wanted: ModelDemand, parallel = 2): string[] => planLoads(list, [wanted], parallel).map(({ engine: id }) => id)

  it('does not wait until the items of a step have their slots', () => {
    // Load: a version is named and a step is submitted at the same moment. Engines that delayed the load by 1.5 s or more
    // started it with all slots in use, and what the previous step left over could not start under the new weights.
    expect(planned([engine('a', { running: 8 }), engine('b', { running: 7 })], demand())).to.deep.equal(['b', 'a'])
  })

  it('starts with engines whose weights are outdated, then the least busy, up to the limit', () => {
    expect(planned([engine('a', { running: 3 }), engine('b', { version: 3, running: 5 }), engine('c', { running: 1 }), engine('d', { ordering: true })], demand(), 3)).to.deep.equal(['b', 'c'])
  })

  it('loads only the newest version', () => {
    expect(planLoads([engine('a', { version: 1 })], [demand()], 2)).to.deep.equal([{ engine: 'a', model: 'm', version: 5 }])
  })

  it('ignores suspect engines and engines of other models', () => {
    expect(planned([engine('a', { suspect: true }), engine('b', { follows: 'n' }), engine('c', { version: 5 })], demand())).to.deep.equal([])
  })

  it('limits parallel loads to the capacity of the weight store', () => {
    expect([3, 6, 27].map(maxParallelLoads)).to.deep.equal([2, 2, 8])
  })
})
