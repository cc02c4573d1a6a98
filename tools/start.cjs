/**
 * Starts the program with the V8 code cache that the build has written. Without the cache a host compiles the whole program at
 * each start, which takes a third of the start time and delays the first answers after all hosts were lost. V8 rejects a cache
 * from another engine version, other options or another version of the program; the program then starts without it.
 */

'use strict'

const { readFileSync, writeFileSync } = require('node:fs')
const { wrap } = require('node:module')
const { join } = require('node:path')
const { Script } = require('node:vm')

const PROGRAM = join(__dirname, 'bulrushvalve.cjs')
const COMPILED = join(__dirname, 'bulrushvalve.compiled')
/** First argument that makes the program run briefly and write the code cache. Used by the build. */
const COMPILE = '--write-compiled'
/** Time from loading the program until the code cache is written, in milliseconds. By then most of the functions that a start needs are compiled. */
const COMPILE_MS = 1000

function readCompiled () {
  try {
    return readFileSync(COMPILED)
  } catch {
    return undefined
  }
}

// The build output is pure ASCII, and latin1 is the fastest encoding to decode it.
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
