/** Shapes of modelled days: what is wrong in a file is told with its number and its line, and no day is played. */

import { expect } from 'chai'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { readShape } from '../../tools/bench/steps/shape.ts'

const EXAMPLE = 'tools/bench/steps/long-items.toml'

describe('the shape of a modelled day', () => {
  let directory: string
  beforeEach(() => { directory = mkdtempSync(join(tmpdir(), 'shape-')) })
  afterEach(() => { rmSync(directory, { recursive: true }) })

  const changed = (from: string, to: string): { readonly path: string, readonly line: number } => {
    const lines = readFileSync(EXAMPLE, 'utf8').split('\n')
    const index = lines.findIndex((line) => line.startsWith(from))
    lines[index] = to
    const path = join(directory, 'shape.toml')
    writeFileSync(path, lines.join('\n'))
    return { path, line: index + 1 }
  }
  const messageOf = (path: string): string => {
    const shape = readShape(path)
    return shape.ok ? '' : shape.message
  }

  it('is read from the examples', () => {
    for (const path of [EXAMPLE, 'tools/bench/steps/unlike-engines.toml']) expect(messageOf(path)).to.equal('')
  })

  it('has no negative rate, no other unit, and no share above one', () => {
    for (const [from, to, key] of [['per_day', 'per_day = -1', 'store_away.per_day'], ['wanted_share', 'wanted_share = 90', 'trainer.wanted_share'], ['event_ms = ', 'event_s = 0.035', 'engines.event_s']] as const) {
      const { path, line } = changed(from, to)
      expect(messageOf(path)).to.match(/^\d{4} invalidSettings: /).and.to.contain(`line ${line}: ${key}: `)
    }
  })

  it('is refused where the file is no TOML or is not there', () => {
    const { path, line } = changed('[trainer]', '[trainer')
    expect(messageOf(path)).to.contain(`line ${line}`)
    expect(messageOf(join(directory, 'absent.toml'))).to.contain('absent.toml')
  })
})
