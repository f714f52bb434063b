import assert from 'node:assert/strict'
import { execFile } from 'node:child_process'
import { mkdir, mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { test } from 'node:test'
import { fileURLToPath } from 'node:url'

const SCRIPT = fileURLToPath(new URL('../test.mjs', import.meta.url))
const IMPORT = 'import { test } from \'node:test\'\n'
const PASSES = 'test(\'passes\', () => {})\n'
const KNOWN_RED = 'test(\'known red\', () => { throw new Error(\'seen before\') })\n'
/** Runs for long enough that the results before it arrive. */
const WAITS = 'test(\'waits\', async () => { await new Promise(resolve => setTimeout(resolve, 200)) })\n'
const exits = (code: number): string => `test('exits', () => { process.exit(${code}) })\n`

/** Runs all tests of a folder with the given test file and another one whose test passes. */
async function runTests (content: string, more: Readonly<Record<string, string>> = {}): Promise<{ code: number, out: string }> {
  const cwd = await mkdtemp(join(tmpdir(), 'wisteriaslip-tests-'))
  await writeFile(join(cwd, 'KNOWN-RED.txt'), 'known red | npm test | seen before | 1\n')
  await writeFile(join(cwd, 'checked.test.ts'), content)
  await writeFile(join(cwd, 'other.test.ts'), IMPORT + 'test(\'another passes\', () => {})\n')
  for (const [file, text] of Object.entries(more)) {
    await mkdir(join(cwd, dirname(file)), { recursive: true })
    await writeFile(join(cwd, file), text)
  }
  // Set for test files, in which Node.js runs no others.
  const { NODE_TEST_CONTEXT: _, ...env } = process.env
  try {
    return await new Promise(resolve => {
      execFile(process.execPath, ['--import', import.meta.resolve('tsx'), SCRIPT], { cwd, env }, (error, out) => {
        resolve({ code: error === null ? 0 : Number(error.code), out })
      })
    })
  } finally {
    await rm(cwd, { recursive: true })
  }
}

/** Asserts that the file fails the run; how many of its results arrive before it ends depends on timing. */
async function assertFails (content: string): Promise<void> {
  const { code, out } = await runTests(content)
  assert.match(out, /^\d passed, 1 failed, \d skipped$/m)
  assert.match(out, /^failed file: checked\.test\.ts/m)
  assert.equal(code, 1)
}

test('a run passes whose only failures are known', async () => {
  const { code, out } = await runTests(IMPORT + PASSES + KNOWN_RED)
  assert.match(out, /^2 passed, 0 failed, 1 skipped$/m)
  assert.doesNotMatch(out, /failed file/)
  assert.equal(code, 0)
})

test('a run fails by a failure that is not known', async () => {
  const { code, out } = await runTests(IMPORT + PASSES + KNOWN_RED.replace('known red', 'new'))
  assert.match(out, /^2 passed, 1 failed, 0 skipped$/m)
  assert.equal(code, 1)
})

// Guards against: a run passes without the tests of a file that imports what does not exist.
test('a test file that cannot be loaded fails the run', async () => {
  await assertFails('import \'./missing.ts\'\n' + IMPORT + PASSES)
})

// Guards against: a run passes without the tests of a file that ends before any of them is reported.
test('a test file that reports no test fails the run', async () => {
  await assertFails(IMPORT + exits(0) + PASSES)
})

// Guards against: a run passes without the remaining tests of a file that ends in the middle, with whichever exit code.
test('a test file that ends before its last test fails the run', async () => {
  await assertFails(IMPORT + PASSES + WAITS + exits(0))
  await assertFails(IMPORT + PASSES + WAITS + exits(3))
})

// Guards against: a failure that is known hides that the file ended in the middle.
test('a test file that ends after a known failure fails the run', async () => {
  await assertFails(IMPORT + KNOWN_RED + WAITS + exits(3))
})

// Guards against: an error that a test leaves behind ends the process after all results, and nobody sees it.
test('a test file that fails after its last test fails the run', async () => {
  await assertFails(IMPORT + 'test(\'passes\', () => { setTimeout(() => { throw new Error(\'too late\') }, 20) })\n')
})

// Guards against tests whose bounds don't hold while others load the machine.
test('tests of crowds run after all others, one at a time, and fail the run too', async () => {
  const noting = (name: string, fails = false): string => `${IMPORT}import { appendFileSync } from 'node:fs'
    test('${name}', async () => {
      appendFileSync('order', '${name} begins,')
      await new Promise(resolve => setTimeout(resolve, 300))
      appendFileSync('order', '${name} ends,')
      if (${String(fails)}) throw new Error('fails')
    })\n`
  const order = IMPORT + 'import { readFileSync } from \'node:fs\'\ntest(\'order\', t => t.diagnostic(readFileSync(\'order\', \'utf8\')))\n'
  const { code, out } = await runTests(noting('plain'), { 'testing/crowd/test/a.test.ts': noting('a'), 'testing/crowd/test/b.test.ts': noting('b', true), 'testing/crowd/test/c.test.ts': order })
  assert.match(out, /plain begins,plain ends,a begins,a ends,b begins,b ends,/)
  assert.match(out, /^4 passed, 1 failed, 0 skipped$/m)
  assert.equal(code, 1)
})
