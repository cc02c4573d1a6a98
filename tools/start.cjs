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
/** With this word before all others the program runs once and leaves what was compiled behind, for the build. */
const COMPILE = '--write-compiled'

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
  process.on('exit', () => { writeFileSync(COMPILED, script.createCachedData()) })
}
const program = { exports: {} }
script.runInThisContext().call(program.exports, program.exports, require, program, PROGRAM, __dirname)
