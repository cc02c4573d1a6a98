/**
 * Tests that the names of the platform's wire protocols occur only in `platform/`, `deploy/` and these
 * tests. A name elsewhere would duplicate the vocabulary, and a change of the platform would then
 * require a change of the product.
 */

import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { expect } from 'chai'

/** Headers, paths, topics, fields and values of the wire protocols that are not part of the product. */
const wireNames: readonly RegExp[] = [
  /bulrushvalve-(request-id|deadline-ms|expect-|response-seal|not-run|server-load|wait-ms|weight-versions|length-hint|token-usage|prompt-prefix|request-urgency|instance-id|model|pin-ms|hold|kv-)/i,
  /BULRUSHVALVE_NODE_FILE/,
  /\/log-(append|read|newest|join|leave|commit|owners|trim)/,
  /['"`]\/(lots|items|resolve|ready|order|report|kv-)/,
  /keyed\.(op|servers|status)\b/,
  /\b(path_prefix|route_type|slo_ms|due_ms|retention_s|single_version|group_count|min_version|cold_left_ms|max_conns|health_path|max_header_bytes|max_body_bytes|header_timeout_ms|idle_timeout_ms|ttl_s|addrs|created_rev|require_fence)\b/
]

const folders = ['src', 'standins', 'tools', 'examples'] as const

function filesIn (folder: string): string[] {
  return readdirSync(folder, { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile())
    .map((entry) => join(entry.parentPath, entry.name))
}

function leaks (file: string): string[] {
  return readFileSync(file, 'utf8').split('\n').flatMap((line, index) => wireNames.some((name) => name.test(line)) ? [`${file}:${index + 1}: ${line.trim()}`] : [])
}

describe("the platform's names", () => {
  it('do not occur in the product', () => {
    expect(folders.flatMap(filesIn).flatMap(leaks)).to.deep.equal([])
  })

  it('are found where they occur', () => {
    expect(filesIn('platform').flatMap(leaks)).to.not.deep.equal([])
  })

  it('are translated in a small folder', () => {
    const lines = filesIn('platform').reduce((sum, file) => sum + readFileSync(file, 'utf8').split('\n').length, 0)
    expect(lines).to.be.lessThan(1500)
  })

  it('are translated without state, timers or waiting', () => {
    const forbidden = /\b(setTimeout|setInterval|await|async|Date\.now|performance|Math\.random|fetch|undici|node:(http|net|timers))\b|^(let|class) /m
    expect(filesIn('platform').flatMap((file) => forbidden.exec(readFileSync(file, 'utf8'))?.[0] ?? [])).to.deep.equal([])
  })
})
