// Builds dist/wisteriaslip: one file with the runtime and the program in it.
import { chmodSync, copyFileSync, mkdirSync, rmSync, writeFileSync } from 'node:fs'
import { execFileSync } from 'node:child_process'
import { build } from 'esbuild'
import { inject } from 'postject'
import { readFileSync } from 'node:fs'

const BUNDLE = 'dist/wisteriaslip.cjs'
const BLOB = 'dist/wisteriaslip.blob'
const BINARY = 'dist/wisteriaslip'
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'

rmSync('dist', { recursive: true, force: true })
mkdirSync('dist')
await build({
  entryPoints: ['cli/cli/src/main.ts'],
  bundle: true,
  minify: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outfile: BUNDLE,
  define: { 'import.meta.url': '"file:///wisteriaslip"' },
  logLevel: 'warning'
})
writeFileSync('dist/sea.json', JSON.stringify({ main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true, useCodeCache: true }))
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], { stdio: ['ignore', 'ignore', 'inherit'] })
copyFileSync(process.execPath, BINARY)
chmodSync(BINARY, 0o755)
await inject(BINARY, 'NODE_SEA_BLOB', readFileSync(BLOB), { sentinelFuse: FUSE })
process.stdout.write(`built ${BINARY}\n`)
