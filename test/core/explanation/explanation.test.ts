/** Timelines from recorded log lines. */

import { expect } from 'chai'
import { parseLogLine } from '../../../src/commandLine/node/explainCommand.ts'
import { explain, formatTimeline } from '../../../src/core/common/explanation/explanation.ts'
import type { LogLine } from '../../../src/core/common/explanation/explanation.ts'

const at = (seconds: number): string => new Date(1_790_000_000_000 + seconds * 1000).toISOString()
const line = (seconds: number, host: string, type: string, what: string, details: object): string => JSON.stringify({ time: at(seconds), host, type, what, ...details })

const recorded = [
  line(0, 'a/1', 'decided', 'step submitted', { step: 's1', number: 3, outcome: 'accepted' }),
  line(0.1, 'b/1', 'decided', 'step adopted', { step: 's1', items: 2, term: 4 }),
  line(0.2, 'b/1', 'changed', 'store regained', { topic: 't', silentMs: 800 }),
  line(1, 'b/1', 'decided', 'run ended', { item: 'i1', step: 's1', engine: 'e1', end: 'broken', why: 'silent', events: 12, failed: true }),
  line(1.1, 'b/1', 'changed', 'target gone', { target: 'e1', why: 'its entry is gone' }),
  line(1.1, 'b/1', 'changed', 'target gone', { target: 'e9', why: 'its entry is gone' }),
  line(2, 'b/1', 'decided', 'run ended', { item: 'i1', step: 's1', engine: 'e2', end: 'complete', why: '', events: 40 }),
  line(2, 'b/1', 'decided', 'run ended', { item: 'i2', step: 's1', engine: 'e2', end: 'complete', why: '', events: 9 }),
  line(2.2, 'c/1', 'alarm', 'store lost', { topic: 't' }),
  line(3, 'a/1', 'decided', 'call ended', { request: 'r1', route: 'x', failed: true, outcome: 'unknownOutcome', attempts: 'w1:0,-:unknownOutcome:5ms w2:1,-:ended' }),
  line(60, 'b/1', 'changed', 'configuration in force', { version: 9 })
].map(parseLogLine).filter((read): read is LogLine => read !== undefined)

describe('the timeline', () => {
  it('of an item contains its runs, its step and the status changes of its host', () => {
    expect(formatTimeline(explain(recorded, 'i1'))).toMatchSnapshot()
  })

  it('of a request contains its attempts', () => {
    expect(explain(recorded, 'r1').map(({ what }) => what)).to.deep.equal(['call ended'])
  })

  it('of a step contains all lines that mention it', () => {
    expect(explain(recorded, 's1').filter(({ type }) => type === 'decided').map(({ what }) => what)).to.deep.equal(['step submitted', 'step adopted', 'run ended', 'run ended', 'run ended'])
  })

  it('of a held request, and of its fingerprint, contains the ends and trials that other hosts logged for its repeats', () => {
    const lines = [
      line(0, 'a/1', 'decided', 'target ended under requests', { target: 't1', requests: 'r0 r1', fingerprints: 'f0 f1', underWay: 2 }),
      line(1, 'b/1', 'decided', 'request held back', { fingerprint: 'f0', target: 't2', ends: 2, trials: 0 }),
      line(2, 'b/1', 'decided', 'trial of a held request', { fingerprint: 'f0', number: 1 }),
      line(3, 'c/1', 'decided', 'request cleared', { fingerprint: 'f1', ends: 1 }),
      line(4, 'd/1', 'decided', 'call ended', { request: 'r5', outcome: 'requestHeld', fingerprint: 'f0', attempts: '' }),
      line(4, 'd/1', 'decided', 'call ended', { request: 'r6', outcome: '200', fingerprint: '', attempts: '' })
    ].map(parseLogLine).filter((read): read is LogLine => read !== undefined)
    const held = ['target ended under requests', 'request held back', 'trial of a held request', 'call ended']
    for (const id of ['r5', 'f0']) expect(explain(lines, id).map(({ what }) => what), id).to.deep.equal(held)
    expect(explain(lines, 'r1').map(({ what }) => what)).to.deep.equal(['target ended under requests'])
  })

  it('of an unknown id is empty', () => { expect(explain(recorded, 'nobody')).to.deep.equal([]) })

  it('is read from lines with a prefix, and ignores text that is not a log line', () => {
    expect(parseLogLine(`  12.5 host ${line(0, 'a/1', 'changed', 'start', {})}`)?.what).to.equal('start')
    for (const text of ['', 'not JSON', '{"time":1}', '{"time"', '{"time":"2026","host":1}']) expect(parseLogLine(text)).to.equal(undefined)
  })

  it('leaves out unrelated hosts, topics, models and targets', () => {
    // If all status changes that the involved hosts log within a few seconds are included, the timeline of one
    // item has hundreds of lines about unrelated hosts, topics and targets.
    const unrelated = [
      line(0, 'a/1', 'decided', 'step submitted', { step: 's1', model: 'm1', outcome: 'accepted' }),
      line(0.1, 'b/1', 'changed', 'hosts known', { hosts: 83, alive: 83, known: 84 }),
      line(0.2, 'b/1', 'changed', 'host status', { member: 'z/1', status: 'dead', was: 'alive' }),
      line(0.3, 'b/1', 'changed', 'host is dead', { member: 'z/2' }),
      line(0.4, 'b/1', 'changed', 'topic loaded', { topic: 'other', records: 9, offset: 9 }),
      line(0.5, 'b/1', 'changed', 'topic loaded', { topic: 'steps', records: 9, offset: 9 }),
      line(0.6, 'b/1', 'changed', 'target registered', { target: 'e7', service: 'x' }),
      line(0.7, 'b/1', 'changed', 'version named', { model: 'm2', version: 3 }),
      line(0.8, 'b/1', 'changed', 'version named', { model: 'm1', version: 3 }),
      line(0.9, 'b/1', 'alarm', 'store lost', { topic: 'other' }),
      line(1, 'b/1', 'decided', 'run ended', { item: 'i1', step: 's1', engine: 'e1', end: 'complete' }),
      line(1.1, 'b/1', 'decided', 'append not confirmed', { topic: 'steps', records: 1, key: 'result/s1/i1/n1', way: 'direct', code: 'commandUnknown', failed: true }),
      line(1.2, 'b/1', 'decided', 'append not confirmed', { topic: 'steps', records: 1, key: 'result/s2/i1x/n1', way: 'direct', code: 'commandUnknown', failed: true }),
      line(1.3, 'b/1', 'decided', 'result listed', { step: 's1', item: 'i1', position: 0, offset: 12, term: 1 }),
      line(1.4, 'a/1', 'changed', 'host is suspect', { member: 'b/1' })
    ].map(parseLogLine).filter((read): read is LogLine => read !== undefined)
    expect(explain(unrelated, 'i1').map(({ what, details }) => [what, details.topic ?? details.model ?? details.member].filter((part) => part !== undefined).join(' '))).to.deep.equal([
      'step submitted m1', 'topic loaded steps', 'version named m1', 'store lost other', 'run ended', 'append not confirmed steps', 'result listed', 'host is suspect b/1'
    ])
  })
})
