// Builds dist/wisteriaslip: one executable that contains the Node.js runtime and the bundled program. It is replaced in one
// step when the new one is whole, so that entries can be started meanwhile.
// The first argument names another output folder than dist.
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, mkdirSync, readdirSync, readFileSync, renameSync, rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { build } from 'esbuild'
import { inject } from 'postject'

const OUT_FOLDER = process.argv[2] ?? 'dist'
const PROGRAM = join(OUT_FOLDER, 'wisteriaslip')
const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'
/** Followed by the id of the building process. Inside the output folder: a rename across file systems is not atomic. */
const WORK_PREFIX = '.building-'
const WORK_FOLDER = join(OUT_FOLDER, `${WORK_PREFIX}${process.pid}`)
const BUNDLE = 'wisteriaslip.cjs'
const BLOB = 'wisteriaslip.blob'
const BINARY = join(WORK_FOLDER, 'wisteriaslip')

mkdirSync(OUT_FOLDER, { recursive: true })
removeLeftovers()
mkdirSync(WORK_FOLDER)
try {
  await buildBlob()
  await buildBinary()
  renameSync(BINARY, PROGRAM)
} finally {
  rmSync(WORK_FOLDER, { recursive: true, force: true })
}
process.stdout.write(`built ${PROGRAM}\n`)

async function buildBlob () {
  await build({
    entryPoints: ['cli/cli/src/main.ts'],
    bundle: true,
    minify: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    outfile: join(WORK_FOLDER, BUNDLE),
    define: { 'import.meta.url': '"file:///wisteriaslip"' },
    logLevel: 'warning'
  })
  writeFileSync(join(WORK_FOLDER, 'sea.json'), JSON.stringify({ main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true, useCodeCache: true }))
  execFileSync(process.execPath, ['--experimental-sea-config', 'sea.json'], { cwd: WORK_FOLDER, stdio: ['ignore', 'ignore', 'inherit'] })
}

async function buildBinary () {
  copyFileSync(process.execPath, BINARY)
  chmodSync(BINARY, 0o755)
  await inject(BINARY, 'NODE_SEA_BLOB', readFileSync(join(WORK_FOLDER, BLOB)), { sentinelFuse: SENTINEL_FUSE })
}

/** Removes what interrupted builds have left. */
function removeLeftovers () {
  const builds = readdirSync(OUT_FOLDER).filter(name => name.startsWith(WORK_PREFIX))
  const ended = builds.filter(name => !isRunningElsewhere(Number(name.slice(WORK_PREFIX.length))))
  for (const name of ended) rmSync(join(OUT_FOLDER, name), { recursive: true, force: true })
}

function isRunningElsewhere (pid) {
  if (pid === process.pid) return false
  try {
    process.kill(pid, 0)
    return true
  } catch (error) {
    return error.code === 'EPERM'
  }
}
