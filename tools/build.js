// Builds dist/: the program as a single script with a V8 code cache, as a single executable, and the stand-ins.
import { build } from 'esbuild'
import { execFileSync, spawnSync } from 'node:child_process'
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { parse } from 'smol-toml'

const SENTINEL = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'
/** Timeout for writing the code cache, in milliseconds. It is many times longer than a busy machine needs. */
const COMPILE_LIMIT_MS = 60_000

/** Bundles only the parts of undici that the program uses, HTTP/1.1 clients and pools. The full package would also load fetch, caches and HTTP/2 at every start. */
const undiciParts = {
  name: 'undici-parts',
  setup ({ onResolve }) {
    onResolve({ filter: /^undici$/ }, () => ({ path: fileURLToPath(new URL('./undici/parts.cjs', import.meta.url)) }))
    onResolve({ filter: /^\.\/client-h2\.js$/ }, () => ({ path: fileURLToPath(new URL('./undici/noHttp2.cjs', import.meta.url)) }))
  }
}
const shared = { bundle: true, platform: 'node', target: 'node20', format: 'cjs', external: ['unix-dgram'], logLevel: 'warning', minifyWhitespace: true, legalComments: 'external', define: { 'import.meta.url': 'importMetaUrl' }, banner: { js: 'const importMetaUrl = require("node:url").pathToFileURL(__filename).href;' } }

/** Returns the Node.js options with which the platform starts a host. */
function hostOptions () {
  const words = parse(readFileSync('deploy/system.toml', 'utf8')).roles.host.run.split(' ')
  return words.slice(1, words.findIndex((word) => word.endsWith('.cjs')))
}

/** Runs the program briefly, as a host whose store is unreachable, and writes the code cache. V8 accepts a code cache only under the same options. */
function compile () {
  // Hosts start without a code cache too, only more slowly. An empty file is ignored, but a missing file would fail the build of the deployment.
  writeFileSync('dist/bulrushvalve.compiled', '')
  const { status } = spawnSync(process.execPath, [...hostOptions(), 'dist/start.cjs', '--write-compiled', 'serve', '--settings', 'tools/compile.toml'], { stdio: 'ignore', timeout: COMPILE_LIMIT_MS })
  if (status !== 0) process.stderr.write('writing the V8 code cache failed: hosts will start more slowly\n')
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
