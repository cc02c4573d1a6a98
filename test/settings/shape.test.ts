/** Shape files of simulated days: errors in a file are reported with an error number and a line, and no simulation runs. */

import { expect } from 'chai'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { readDayShape } from '../../tools/bench/steps/shape.ts'

const EXAMPLE = 'tools/bench/steps/long-items.toml'

describe('the shape of a simulated day', () => {
  let directory: string
  beforeEach(() => { directory = mkdtempSync(join(tmpdir(), 'shape-')) })
  afterEach(() => { rmSync(directory, { recursive: true }) })

  const writeChangedExample = (from: string, to: string): { readonly path: string, readonly line: number } => {
    const lines = readFileSync(EXAMPLE, 'utf8').split('\n')
    const index = lines.findIndex((line) => line.startsWith(from))
    lines[index] = to
    const path = join(directory, 'shape.toml')
    writeFileSync(path, lines.join('\n'))
    return { path, line: index + 1 }
  }
  const errorMessageOf = (path: string): string => {
    const shape = readDayShape(path)
    return shape.ok ? '' : shape.message
  }

  it('is read from the examples', () => {
    for (const path of [EXAMPLE, 'tools/bench/steps/unlike-engines.toml']) expect(errorMessageOf(path)).to.equal('')
  })

  it('rejects a negative rate, another unit, and a share above one', () => {
    for (const [from, to, key] of [['per_day', 'per_day = -1', 'store_away.per_day'], ['wanted_share', 'wanted_share = 90', 'trainer.wanted_share'], ['event_ms = ', 'event_s = 0.035', 'engines.event_s']] as const) {
      const { path, line } = writeChangedExample(from, to)
      expect(errorMessageOf(path)).to.match(/^\d{4} invalidSettings: /).and.to.contain(`line ${line}: ${key}: `)
    }
  })

  it('is rejected if the file is not TOML or does not exist', () => {
    const { path, line } = writeChangedExample('[trainer]', '[trainer')
    expect(errorMessageOf(path)).to.contain(`line ${line}`)
    expect(errorMessageOf(join(directory, 'absent.toml'))).to.contain('absent.toml')
  })
})
