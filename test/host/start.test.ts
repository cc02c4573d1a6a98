/** A host's start: from compiled code, without what a host of routes never uses. */

import { expect } from 'chai'
import { execFileSync } from 'node:child_process'
import { copyFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parse } from 'smol-toml'

interface Deployment {
  readonly roles: { readonly host: { readonly run: string } }
}

describe('the start of a host', function () {
  this.timeout(30_000)

  const run = (parse(readFileSync('deploy/system.toml', 'utf8')) as unknown as Deployment).roles.host.run.split(' ')

  it('has the options under which the build compiled', () => {
    // Symptom: hosts started as slowly as without compiled code. The engine passes it over, without a word, under any other option.
    const script = run.findIndex((word) => word.endsWith('.cjs'))
    expect(run[script]).to.equal('target/start.cjs')
    const look = `
      const { Script } = require('node:vm')
      const { readFileSync } = require('node:fs')
      const script = new Script(require('node:module').wrap(readFileSync('dist/bulrushvalve.cjs', 'latin1')), { filename: 'x', cachedData: readFileSync('dist/bulrushvalve.compiled') })
      console.log(script.cachedDataRejected)`
    expect(execFileSync(process.execPath, [...run.slice(1, script), '-e', look], { encoding: 'utf8' }).trim()).to.equal('false')
  })

  it('does not load what a host of routes never uses', () => {
    // Symptom: after the loss of all hosts of a large deployment each took half a second of its processor to start. The command line's
    // tables of letters, fetch, HTTP/2 and the grammar of commands were a third of that, on hosts that never use them.
    const look = `
      const segmenter = Intl.Segmenter
      let segmenters = 0
      Intl.Segmenter = class extends segmenter { constructor (...words) { super(...words); segmenters++ } }
      process.argv = ['node', 'start.cjs', 'serve', '--settings', 'tools/compile.toml']
      process.stdout.write = () => true
      require('./dist/start.cjs')
      setTimeout(() => {
        const loaded = process.moduleLoadList.filter((name) => /http2|deps\\/undici/.test(name))
        console.error(JSON.stringify({ loaded, segmenters }))
        process.kill(process.pid, 'SIGKILL')
      }, 700)`
    let seen = ''
    try {
      execFileSync(process.execPath, ['-e', look], { encoding: 'utf8', stdio: ['ignore', 'ignore', 'pipe'] })
    } catch (error) {
      seen = (error as { stderr: string }).stderr
    }
    expect(JSON.parse(seen.split('\n')[0] ?? '')).to.deep.equal({ loaded: [], segmenters: 0 })
  })

  for (const compiled of [undefined, '', 'of another engine']) {
    it(`does without compiled code where ${compiled === undefined ? 'there is none' : `it is "${compiled}"`}`, () => {
      // Symptom: a deployment's build failed on a busy machine, as compiling had taken longer than a second and left no file.
      const folder = mkdtempSync(join(tmpdir(), 'start-'))
      for (const file of ['start.cjs', 'bulrushvalve.cjs']) copyFileSync(join('dist', file), join(folder, file))
      if (compiled !== undefined) writeFileSync(join(folder, 'bulrushvalve.compiled'), compiled)
      const said = execFileSync(process.execPath, [join(folder, 'start.cjs'), 'check', '--settings', 'tools/compile.toml'], { encoding: 'utf8' })
      rmSync(folder, { recursive: true })
      expect(said).to.contain('in order')
    })
  }

  it('is of a script that holds ASCII alone, as it is read', () => {
    expect(readFileSync('dist/bulrushvalve.cjs', 'latin1') === readFileSync('dist/bulrushvalve.cjs', 'utf8')).to.equal(true)
  })
})
