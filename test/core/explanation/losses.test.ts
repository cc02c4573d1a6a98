/** Summaries of steps, and the ranking of their losses, from recorded log lines. */

import { expect } from 'chai'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { explainFromFiles, lossesFromFiles } from '../../../src/commandLine/node/explainCommand.ts'

const at = (seconds: number): string => new Date(1_790_000_000_000 + seconds * 1000).toISOString()
const line = (seconds: number, host: string, type: string, what: string, details: object): string => JSON.stringify({ time: at(seconds), host, type, what, ...details })

/** Log lines of a step that is submitted at `asked`, adopted 0.1 s later, and has its wanted groups listed after `wantedAfter` seconds. */
function stepLogLines (id: string, number: number, asked: number, wantedAfter: number | undefined, phases: object): string[] {
  const lines = [
    line(asked + 0.02, 'a/1', 'decided', 'step submitted', { step: id, failed: false, number, model: 'm', items: 3, outcome: 'accepted', tookMs: 20 }),
    line(asked + 0.1, 'b/1', 'decided', 'step adopted', { step: id, number, model: 'm', items: 3 }),
    line(asked + 1, 'b/1', 'decided', 'result listed', { step: id, item: `${id}-first`, position: 0, running: 800 })
  ]
  if (wantedAfter !== undefined) lines.push(line(asked + wantedAfter, 'b/1', 'decided', 'wanted groups listed', { step: id, number, model: 'm', tookMs: wantedAfter * 1000, dueMs: 7500, item: `${id}-last`, ...phases }))
  return [...lines, line(asked + (wantedAfter ?? 12) + 0.3, 'c/1', 'decided', 'step end asked', { step: id, failed: false, outcome: 'ended' })]
}

const recorded = [
  ...stepLogLines('s1', 1, 0, 6, { payloads: 20, waiting: 0, running: 5700, scoring: 80, writing: 50, listing: 50 }),
  ...stepLogLines('s2', 2, 4, 6.1, { payloads: 20, waiting: 100, running: 5700, scoring: 80, writing: 50, listing: 50 }),
  // The store is unavailable when the last item is to be listed.
  ...stepLogLines('s3', 3, 8, 9, { payloads: 20, waiting: 0, running: 5700, scoring: 80, writing: 3050, listing: 50 }),
  line(14, 'b/1', 'alarm', 'store lost', { topic: 't' }),
  line(16.5, 'b/1', 'changed', 'store regained', { topic: 't', silentMs: 2500 }),
  // Another host takes over and adopts the step again; that host has no earlier state of it.
  ...stepLogLines('s4', 4, 18, 8.5, { payloads: 20, waiting: 0, running: 2000, scoring: 80, writing: 50, listing: 50 }),
  line(24.3, 'd/1', 'decided', 'step adopted', { step: 's4', number: 4, model: 'm', items: 1 }),
  ...stepLogLines('s5', 5, 24, undefined, {}),
  line(26, 'b/1', 'decided', 'run ended', { step: 's5', item: 'x', engine: 'e', end: 'broken', why: 'silent', failed: true }),
  line(30, 'c/1', 'decided', 'results read', { step: 's5', failed: true, after: 1, results: 0, why: 'stale', tookMs: 900 })
]

describe('losses of steps', () => {
  let directory: string
  const file = (name: string, lines: readonly string[]): string => {
    const path = join(directory, name)
    writeFileSync(path, lines.join('\n'))
    return path
  }
  beforeEach(() => { directory = mkdtempSync(join(tmpdir(), 'losses-')) })
  afterEach(() => { rmSync(directory, { recursive: true }) })

  it('are ranked by the part of the time that was lost and by the disturbance', async () => {
    // Without this ranking, finding the reason for late steps takes reading thousands of log lines by hand.
    expect(await lossesFromFiles([file('a.log', recorded.slice(0, 9)), file('b.log', recorded.slice(9))])).to.deep.equal({
      ok: true,
      value: [
        '3 of 5 steps late; undisturbed interval between steps 4.0 s, total delay of steps 8.0 s',
        '     1   33%     1.5 s  writing, store lost',
        '     1   33%     1.0 s  former-holders, holder changed',
        '     1   33%     0.0 s  never, runs broke'
      ].join('\n')
    })
  })

  it('are summarized for a single step before its timeline', async () => {
    const story = await explainFromFiles('s4', [file('a.log', recorded)])
    expect(story.ok && story.value.split('\n\n')[0]).to.equal([
      'step s4: number 4 of m, 3 items',
      '    0.020 s   accepted',
      '    0.100 s   adopted by b/1, 3 items open',
      '    6.300 s   adopted by d/1, 1 items open',
      '    1.000 s   first result listed: s4-first',
      '    8.500 s   wanted groups listed, due after 7.5 s; the last item was s4-last',
      '              breakdown: accepting 20 ms, former-holders 6280 ms, payloads 20 ms, waiting 0 ms, running 2000 ms, scoring 80 ms, writing 50 ms, listing 50 ms',
      '              1 of 3 results listed, 0 reads failed',
      '    8.800 s   end requested'
    ].join('\n'))
    const never = await explainFromFiles('s5', [file('b.log', recorded)])
    expect(never.ok && never.value).to.contain('wanted groups never listed').and.to.contain('1 reads failed')
  })

  it('are not computed from a log that ends within a line, whose position is reported; truncated lines of killed hosts are ignored', async () => {
    const cut = file('cut.log', [...recorded.slice(0, 3), (recorded[3] ?? '').slice(0, 50)])
    expect(await lossesFromFiles([cut])).to.deep.include({ ok: false, code: 'malformed', message: `${cut}:4: the file ends within a line` })
    const killed = file('killed.log', [...recorded.slice(0, 3), (recorded[3] ?? '').slice(0, 50), ...recorded.slice(4)])
    expect((await lossesFromFiles([killed])).ok).to.equal(true)
    expect(await lossesFromFiles([file('other.log', ['nothing', ''])])).to.deep.include({ ok: false, code: 'notFound', message: 'no line of 0 tells that a step was accepted' })
    expect(await lossesFromFiles([join(directory, 'absent.log')])).to.deep.include({ ok: false, code: 'notFound' })
  })
})
