import assert from 'node:assert/strict'
import { execFile } from 'node:child_process'
import { createHash } from 'node:crypto'
import { access, mkdir, mkdtemp, readFile, readdir, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))
const OBSERVER = fileURLToPath(new URL('observe-build.mjs', import.meta.url))
const OLD_PROGRAM = 'the old program'

interface Build {
  readonly signal: NodeJS.Signals | undefined
  /** Contents of the program while it was built, as hashes in order; `absent` where there was none. */
  readonly states: readonly string[]
}

/** Builds into the folder, and kills the build after the first call of the named function of `fs`. */
async function build (out: string, opts: { killAfter?: string } = {}): Promise<Build> {
  const states = `${out}.states`
  const env = { ...process.env, OBSERVED_FILE: join(out, 'wisteriaslip'), STATES_FILE: states, KILL_AFTER: opts.killAfter ?? '' }
  const signal = await new Promise<Build['signal']>((resolve, reject) => {
    execFile(process.execPath, ['--import', OBSERVER, 'scripts/build.mjs', out], { cwd: ROOT, env }, (error, _out, err) => {
      if (error === null || typeof error.signal === 'string') resolve(error?.signal ?? undefined)
      else reject(new Error(err))
    })
  })
  const lines = (await readFile(states, 'utf8')).trim().split('\n')
  await rm(states)
  return { signal, states: lines }
}

async function withOutFolder (use: (out: string) => Promise<void>): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'wisteriaslip-build-'))
  try {
    await use(join(folder, 'out'))
  } finally {
    await rm(folder, { recursive: true })
  }
}

function hash (content: string | Buffer): string {
  return createHash('sha256').update(content).digest('hex')
}

// Guards against: an entry that is started during a build is a bare Node.js, or finds no program.
test('a program that is built again is the old one until the new one is whole', async () => {
  await withOutFolder(async out => {
    const program = join(out, 'wisteriaslip')
    await mkdir(out)
    await writeFile(program, OLD_PROGRAM)
    const { states } = await build(out)
    assert.deepEqual(states, [hash(OLD_PROGRAM), hash(await readFile(program))])
    assert.match((await promisify(execFile)(program, ['--version'])).stdout, /^\d+\.\d+\.\d+\n$/)
  })
})

// Guards against: a bare Node.js in place of the program after a build was interrupted, and leftovers that pile up or end the next build.
test('a build that is killed leaves no program, and the next one leaves nothing else', async () => {
  await withOutFolder(async out => {
    const program = join(out, 'wisteriaslip')
    const { signal } = await build(out, { killAfter: 'copyFileSync' })
    assert.equal(signal, 'SIGKILL')
    await assert.rejects(access(program))
    const { states } = await build(out)
    assert.deepEqual(states, ['absent', hash(await readFile(program))])
    assert.deepEqual(await readdir(out), ['wisteriaslip'])
  })
})
