// Builds dist/: the program as one script with its compiled code, then as one binary, and the stand-ins.
import { build } from 'esbuild'
import { execFileSync, spawnSync } from 'node:child_process'
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { parse } from 'smol-toml'

const SENTINEL = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'
/** Longest time for compiling, in milliseconds: many times what a busy machine takes. */
const COMPILE_LIMIT_MS = 60_000

/** Of undici the program uses connections and pools of HTTP/1.1 alone; the rest would be loaded at each start: fetch, caches, HTTP/2. */
const undiciParts = {
  name: 'undici-parts',
  setup ({ onResolve }) {
    onResolve({ filter: /^undici$/ }, () => ({ path: fileURLToPath(new URL('./undici/parts.cjs', import.meta.url)) }))
    onResolve({ filter: /^\.\/client-h2\.js$/ }, () => ({ path: fileURLToPath(new URL('./undici/noHttp2.cjs', import.meta.url)) }))
  }
}
const shared = { bundle: true, platform: 'node', target: 'node20', format: 'cjs', external: ['unix-dgram'], logLevel: 'warning', minifyWhitespace: true, legalComments: 'external', define: { 'import.meta.url': 'importMetaUrl' }, banner: { js: 'const importMetaUrl = require("node:url").pathToFileURL(__filename).href;' } }

/** Options of the engine with which the platform starts a host. */
function hostOptions () {
  const words = parse(readFileSync('deploy/system.toml', 'utf8')).roles.host.run.split(' ')
  return words.slice(1, words.findIndex((word) => word.endsWith('.cjs')))
}

/** Runs the program for a moment, as a host without a store, so that what a start compiles is kept; the engine takes it back under the same options only. */
function compile () {
  // Without compiled code hosts start all the same, only later: an empty file is passed over, and a missing one would end the deployment's build.
  writeFileSync('dist/bulrushvalve.compiled', '')
  const { status } = spawnSync(process.execPath, [...hostOptions(), 'dist/start.cjs', '--write-compiled', 'serve', '--settings', 'tools/compile.toml'], { stdio: 'ignore', timeout: COMPILE_LIMIT_MS })
  if (status !== 0) process.stderr.write('the program was not compiled ahead: hosts will start more slowly\n')
}

mkdirSync('dist', { recursive: true })
await build({ ...shared, plugins: [undiciParts], entryPoints: ['src/main.ts'], outfile: 'dist/bulrushvalve.cjs' })
await build({ ...shared, entryPoints: ['standins/main.ts'], outfile: 'dist/standins.cjs' })
copyFileSync('tools/start.cjs', 'dist/start.cjs')
compile()
if (!process.argv.includes('--scripts-only')) {
  writeFileSync('dist/sea.json', JSON.stringify({ main: 'dist/bulrushvalve.cjs', output: 'dist/bulrushvalve.blob', disableExperimentalSEAWarning: true, useCodeCache: true }))
  execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], { stdio: 'ignore' })
  copyFileSync(process.execPath, 'dist/bulrushvalve')
  chmodSync('dist/bulrushvalve', 0o755)
  execFileSync('node_modules/.bin/postject', ['dist/bulrushvalve', 'NODE_SEA_BLOB', 'dist/bulrushvalve.blob', '--sentinel-fuse', SENTINEL], { stdio: 'ignore' })
}
