/** Tests that log lines are rate-limited and never wait for a reader. */

import { expect } from 'chai'
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { StandardOutput } from '../../src/adapters/node/standardOutput.ts'
import type { LineSink } from '../../src/adapters/node/structuredLog.ts'
import { StructuredLog } from '../../src/adapters/node/structuredLog.ts'

class RecordingSink implements LineSink {
  lines: { what: string }[] = []
  writableLength = 0
  write (line: string): void { this.lines.push(JSON.parse(line) as { what: string }) }
  count (what: string): number { return this.lines.filter((line) => line.what === what).length }
}

const waitForNextSecond = async (): Promise<void> => { await new Promise((resolve) => setTimeout(resolve, 1005 - (performance.now() % 1000))) }

describe('log lines', () => {
  it('of a burst of decisions are dropped and counted, and those of failures last', async () => {
    // The load is a thousand requests in one second, of which a tenth fails.
    const sink = new RecordingSink()
    const log = new StructuredLog('bursting', 'info', sink)
    await waitForNextSecond()
    for (let request = 0; request < 1000; request++) log.decided('call ended', { request: `r${request}`, failed: request % 10 === 0 })
    expect(sink.lines.filter((line) => (line as { failed?: boolean }).failed === true)).to.have.length(100)
    expect(sink.count('call ended')).to.equal(200)
    await waitForNextSecond()
    log.decided('call ended', { request: 'later' })
    expect(sink.lines.at(-2)).to.include({ what: 'log lines dropped', 'call ended': 800 })
  })

  it('about steps are kept in a burst of other lines, and a host with more items may write more', async () => {
    // Guards against dropped lines that are needed for diagnosis: the duty holder of a large deployment dropped most of its lines, including
    // those about completed steps. 139 ends of runs and 132 results in one second used up the limit, so the time that a step took could not be explained.
    const sink = new RecordingSink()
    let items = 0
    const log = new StructuredLog('holding', 'info', sink, () => items)
    await waitForNextSecond()
    for (let run = 0; run < 300; run++) log.decided('run ended', { item: `i${run}`, failed: false })
    for (let step = 0; step < 20; step++) log.decided('step whole', { step: `s${step}`, number: step })
    expect(sink.count('run ended')).to.equal(100)
    expect(sink.count('step whole')).to.equal(20)
    items = 320
    await waitForNextSecond()
    for (let run = 0; run < 300; run++) log.decided('run ended', { item: `j${run}`, failed: false })
    expect(sink.count('run ended')).to.equal(400)
    items = 100_000
    await waitForNextSecond()
    for (let run = 0; run < 1000; run++) log.decided('run ended', { item: `k${run}`, failed: false })
    expect(sink.count('run ended')).to.equal(900)
  })

  it('are dropped without waiting while there is no reader', () => {
    const sink = new RecordingSink()
    const log = new StructuredLog('unread', 'info', sink)
    sink.writableLength = 10_000_000
    for (let index = 0; index < 50; index++) log.alarm('store lost', { topic: 't' })
    expect(sink.lines).to.have.length(0)
  })

  it('cost a few microseconds', () => {
    const log = new StructuredLog('timed', 'info', new RecordingSink())
    const began = performance.now()
    for (let index = 0; index < 5000; index++) log.changed('start', { place: 'p', callers: '10.0.0.1:80', store: 'http://10.0.0.2:80' })
    expect((performance.now() - began) / 5000).to.be.lessThan(0.2)
  })

  it('are written in order by another thread', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'lines-'))
    const path = join(folder, 'out')
    const descriptor = openSync(path, 'w')
    const output = new StandardOutput(descriptor)
    const lines = Array.from({ length: 2000 }, (_, index) => `line ${index}\n`)
    for (const line of lines) output.write(line)
    await output.drained(5000)
    closeSync(descriptor)
    expect(readFileSync(path, 'utf8')).to.equal(lines.join(''))
    expect(output.writableLength).to.equal(0)
    rmSync(folder, { recursive: true })
  })
})
