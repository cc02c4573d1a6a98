/** Route table, selection of a target, and classification of answers. */

import { expect } from 'chai'
import { classifyAnswer } from '../../../src/core/common/routes/answerVerdict.ts'
import type { Route, RouteConfiguration } from '../../../src/core/common/routes/routeConfiguration.ts'
import { pickDestination, RouteTable } from '../../../src/core/common/routes/routeConfiguration.ts'
import type { TargetLoad } from '../../../src/core/common/routes/targetChoice.ts'
import { chooseTarget } from '../../../src/core/common/routes/targetChoice.ts'
import { newRoute, newTargetDefinition } from '../../support/routes.ts'

describe('the route table', () => {
  const table = new RouteTable({ version: 1, routes: [newRoute({ name: 'short', pathPrefix: '/a/' }), newRoute({ name: 'long', pathPrefix: '/a/b/' }), newRoute({ name: 'other', host: 'other.example' })] as Route[], services: [], limits: {} as RouteConfiguration['limits'] })

  for (const { host, path, expected } of [
    { host: 'calls.example', path: '/a/b/c', expected: 'long' },
    { host: 'calls.example', path: '/a/bc', expected: 'short' },
    { host: 'CALLS.example:8080', path: '/a/', expected: 'short' },
    { host: 'calls.example', path: '/a', expected: undefined },
    { host: 'nowhere.example', path: '/a/b/', expected: undefined }
  ]) {
    it(`maps ${host}${path} to ${expected ?? 'no route'}`, () => { expect(table.findRoute(host, path)?.name).to.equal(expected) })
  }

  it('picks destinations by weight', () => {
    const split = [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }, { service: 'c', weight: 0 }]
    expect([0, 0.89, 0.9, 0.999].map((chance) => pickDestination(split, chance))).to.deep.equal(['a', 'a', 'b', 'b'])
    expect(pickDestination([], 0.5)).to.equal(undefined)
  })
})

describe('the selection of a target', () => {
  const load = (id: string, details: Partial<TargetLoad> = {}): TargetLoad => ({ definition: newTargetDefinition({ id }), inFlight: 0, report: undefined, reportAgeMs: Number.POSITIVE_INFINITY, sentSinceReport: 0, answerMs: 30, suspect: false, reportsSlowdown: false, ...details })
  const chosen = (loads: TargetLoad[]): string | undefined => chooseTarget(loads, 'here', 0)?.definition.id

  for (const { name, loads, expected } of [
    { name: 'prefers the target with fewer requests in flight', loads: [load('a', { inFlight: 4 }), load('b', { inFlight: 1 })], expected: 'b' },
    { name: 'prefers the faster target', loads: [load('a', { answerMs: 90 }), load('b', { answerMs: 30 })], expected: 'b' },
    { name: 'uses a recent report of a queue', loads: [load('a', { report: { running: 6, waiting: 9, slots: 6 }, reportAgeMs: 50 }), load('b', { inFlight: 2 })], expected: 'b' },
    { name: 'ignores an old report', loads: [load('a', { report: { running: 6, waiting: 9, slots: 6 }, reportAgeMs: 5000 }), load('b', { inFlight: 2 })], expected: 'a' },
    { name: 'avoids a suspect target while another is left', loads: [load('a', { suspect: true }), load('b', { inFlight: 30 })], expected: 'b' },
    { name: 'uses a suspect target if no other is left', loads: [load('a', { suspect: true })], expected: 'a' },
    { name: 'prefers its own failure domain if all else is equal', loads: [load('a', { definition: newTargetDefinition({ id: 'a', place: 'there' }) }), load('b')], expected: 'b' }
  ]) {
    it(name, () => { expect(chosen(loads)).to.equal(expected) })
  }

  it('spreads a burst by its own requests in flight when all reports are old', () => {
    // Load: forty concurrent requests to four targets with six slots each. Without the host's own counts all would go to one target.
    const loads = ['a', 'b', 'c', 'd'].map((id) => ({ ...load(id) }))
    for (let request = 0; request < 40; request++) {
      const target = chooseTarget(loads, 'here', 0)
      if (target !== undefined) (target as { inFlight: number }).inFlight++
    }
    expect(loads.map(({ inFlight }) => inFlight)).to.deep.equal([10, 10, 10, 10])
  })
})

describe('the classification of an answer', () => {
  const head = { status: 200, requestId: 'r', seal: 'x', notRun: false, load: undefined, version: undefined, isEventStream: false, hasLength: true }

  for (const { name, answer, expected } of [
    { name: 'a sealed answer', answer: head, expected: 'answer' },
    { name: 'a sealed answer that does not echo the id', answer: { ...head, requestId: undefined }, expected: 'answer' },
    { name: "another request's answer", answer: { ...head, requestId: 'q' }, expected: 'unusable' },
    { name: "another request's refusal", answer: { ...head, requestId: 'q', notRun: true, status: 503 }, expected: 'unusable' },
    { name: 'an answer without a seal', answer: { ...head, seal: undefined }, expected: 'unusable' },
    { name: 'a refusal', answer: { ...head, status: 503, seal: undefined, notRun: true }, expected: 'not-run' },
    { name: 'a 503 that does not state that the request was not run', answer: { ...head, status: 503, seal: undefined }, expected: 'unusable' },
    { name: 'a failure of the target itself', answer: { ...head, status: 500 }, expected: 'target-failed' },
    { name: 'an answer with the status 600', answer: { ...head, status: 600 }, expected: 'unusable' },
    { name: 'an answer with the status 0', answer: { ...head, status: 0 }, expected: 'unusable' },
    { name: 'a refusal with the status 999', answer: { ...head, status: 999, notRun: true }, expected: 'unusable' },
    { name: 'an interim answer', answer: { ...head, status: 199 }, expected: 'unusable' },
    { name: 'a rejection by the target itself', answer: { ...head, status: 404 }, expected: 'answer' }
  ] as const) {
    it(`classifies ${name} as ${expected}`, () => { expect(classifyAnswer(answer, 'r')).to.equal(expected) })
  }
})
