// Builds dist/wisteriaslip: one executable that contains the Node.js runtime and the bundled program.
// The first argument names another output folder than dist.
import { chmodSync, copyFileSync, mkdirSync, rmSync, writeFileSync } from 'node:fs'
import { execFileSync } from 'node:child_process'
import { build } from 'esbuild'
import { inject } from 'postject'
import { readFileSync } from 'node:fs'

const OUT_FOLDER = process.argv[2] ?? 'dist'
const BUNDLE = `${OUT_FOLDER}/wisteriaslip.cjs`
const BLOB = `${OUT_FOLDER}/wisteriaslip.blob`
const BINARY = `${OUT_FOLDER}/wisteriaslip`
const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'

rmSync(OUT_FOLDER, { recursive: true, force: true })
mkdirSync(OUT_FOLDER)
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
writeFileSync(`${OUT_FOLDER}/sea.json`, JSON.stringify({ main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true, useCodeCache: true }))
execFileSync(process.execPath, ['--experimental-sea-config', `${OUT_FOLDER}/sea.json`], { stdio: ['ignore', 'ignore', 'inherit'] })
copyFileSync(process.execPath, BINARY)
chmodSync(BINARY, 0o755)
await inject(BINARY, 'NODE_SEA_BLOB', readFileSync(BLOB), { sentinelFuse: SENTINEL_FUSE })
process.stdout.write(`built ${BINARY}\n`)
