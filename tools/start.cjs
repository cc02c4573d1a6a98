/**
 * Starts the program from code that the build has compiled. What goes wrong otherwise: a host compiles the whole program at
 * each start, which is a third of what a start takes; after a loss of all hosts each answers its first callers that much later.
 * Where the compiled code is of another engine, other options or another program, it is passed over and nothing else changes.
 */

'use strict'

const { readFileSync, writeFileSync } = require('node:fs')
const { wrap } = require('node:module')
const { join } = require('node:path')
const { Script } = require('node:vm')

const PROGRAM = join(__dirname, 'bulrushvalve.cjs')
const COMPILED = join(__dirname, 'bulrushvalve.compiled')
/** With this word before all others the program runs for a moment and leaves what was compiled behind, for the build. */
const COMPILE = '--write-compiled'
/** That moment, counted from when the program is loaded, in milliseconds: it has most of what a start compiles. */
const COMPILE_MS = 1000

function readCompiled () {
  try {
    return readFileSync(COMPILED)
  } catch {
    return undefined
  }
}

// The build writes nothing but ASCII, which is read soonest as what it is.
const script = new Script(wrap(readFileSync(PROGRAM, 'latin1')), { filename: PROGRAM, cachedData: readCompiled() })
if (process.argv[2] === COMPILE) {
  process.argv.splice(2, 1)
  setTimeout(() => {
    writeFileSync(COMPILED, script.createCachedData())
    process.exit()
  }, COMPILE_MS)
}
const program = { exports: {} }
script.runInThisContext().call(program.exports, program.exports, require, program, PROGRAM, __dirname)
