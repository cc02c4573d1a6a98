/** Host start-up: uses the V8 code cache and does not load modules that a host serving routes never uses. */

import { expect } from 'chai'
import { execFileSync } from 'node:child_process'
import { copyFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parse } from 'smol-toml'

interface Deployment {
  readonly roles: { readonly host: { readonly run: string } }
}

describe('host start-up', function () {
  this.timeout(30_000)

  const startCommand = (parse(readFileSync('deploy/system.toml', 'utf8')) as unknown as Deployment).roles.host.run.split(' ')

  it('runs with the options under which the build created the code cache', () => {
    // Guards against hosts that start as slowly as without a code cache: V8 silently rejects the cache if any option differs.
    const script = startCommand.findIndex((word) => word.endsWith('.cjs'))
    expect(startCommand[script]).to.equal('target/start.cjs')
    const look = `
      const { Script } = require('node:vm')
      const { readFileSync } = require('node:fs')
      const script = new Script(require('node:module').wrap(readFileSync('dist/bulrushvalve.cjs', 'latin1')), { filename: 'x', cachedData: readFileSync('dist/bulrushvalve.compiled') })
      console.log(script.cachedDataRejected)`
    expect(execFileSync(process.execPath, [...startCommand.slice(1, script), '-e', look], { encoding: 'utf8' }).trim()).to.equal('false')
  })

  it('does not load modules that a host serving routes never uses', () => {
    // Guards against slow restarts of a large deployment after the loss of all hosts: each used half a second of processor time to start,
    // a third of it for the command line's Unicode segmentation tables, fetch, HTTP/2 and the command grammar, which these hosts never use.
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
    it(`starts without a code cache if ${compiled === undefined ? 'there is none' : `its content is "${compiled}"`}`, () => {
      // Guards against a failed deployment when compiling takes longer than a second on a busy machine and leaves no cache file.
      const folder = mkdtempSync(join(tmpdir(), 'start-'))
      for (const file of ['start.cjs', 'bulrushvalve.cjs']) copyFileSync(join('dist', file), join(folder, file))
      if (compiled !== undefined) writeFileSync(join(folder, 'bulrushvalve.compiled'), compiled)
      const said = execFileSync(process.execPath, [join(folder, 'start.cjs'), 'check', '--settings', 'tools/compile.toml'], { encoding: 'utf8' })
      rmSync(folder, { recursive: true })
      expect(said).to.contain('in order')
    })
  }

  it('runs a script that contains only ASCII, as it is read as Latin-1', () => {
    expect(readFileSync('dist/bulrushvalve.cjs', 'latin1') === readFileSync('dist/bulrushvalve.cjs', 'utf8')).to.equal(true)
  })
})
