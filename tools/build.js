// Builds dist/: the program as one script, then as one binary, and the stand-ins.
import { build } from 'esbuild'
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from 'node:fs'

const SENTINEL = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'
const shared = { bundle: true, platform: 'node', target: 'node20', format: 'cjs', external: ['unix-dgram'], logLevel: 'warning', define: { 'import.meta.url': 'importMetaUrl' }, banner: { js: 'const importMetaUrl = require("node:url").pathToFileURL(__filename).href;' } }

mkdirSync('dist', { recursive: true })
await build({ ...shared, entryPoints: ['src/main.ts'], outfile: 'dist/bulrushvalve.cjs' })
await build({ ...shared, entryPoints: ['standins/main.ts'], outfile: 'dist/standins.cjs' })
if (!process.argv.includes('--scripts-only')) {
  writeFileSync('dist/sea.json', JSON.stringify({ main: 'dist/bulrushvalve.cjs', output: 'dist/bulrushvalve.blob', disableExperimentalSEAWarning: true }))
  execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], { stdio: 'ignore' })
  copyFileSync(process.execPath, 'dist/bulrushvalve')
  chmodSync('dist/bulrushvalve', 0o755)
  execFileSync('node_modules/.bin/postject', ['dist/bulrushvalve', 'NODE_SEA_BLOB', 'dist/bulrushvalve.blob', '--sentinel-fuse', SENTINEL], { stdio: 'ignore' })
}
