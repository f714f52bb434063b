import assert from 'node:assert/strict'
import { execFileSync } from 'node:child_process'
import { once } from 'node:events'
import { mkdtemp, open, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { JobProcesses } from '@wisteriaslip/testing.jobs'
import { startProcess } from '@wisteriaslip/testing.stand-ins'

const EXIT_USAGE = 2
const demand = { cpu: 1_000, memMb: 100, accelerators: 0 }

// Guards against a shutdown that a repeated SIGTERM cuts short, with callers connected.
test('a second SIGTERM does not cut a graceful shutdown short', { timeout: 60_000 }, async t => {
  const site = await JobProcesses.start({ entries: 1, plan: () => ({ runMs: 400, how: 'done', demand, members: 1 }) })
  t.after(async () => await site.stop())
  const child = site.entries[0]?.process.child
  assert.ok(child !== undefined)
  const exited = once(child, 'exit')
  child.kill('SIGTERM')
  await sleep(500)
  child.kill('SIGTERM')
  assert.equal((await site.call(0, 'GET', '/v1/jobs/quotes/none'))?.status, 410)
  assert.deepEqual(await exited, [0, null])
})

for (const command of ['entry', 'serve']) {
  // Guards against an entry that a change of its settings file ends, because it has no handler for SIGHUP yet.
  test(`SIGHUP while ${command} reads its settings does not end it`, { timeout: 60_000 }, async t => {
    const folder = await mkdtemp(join(tmpdir(), 'wisteriaslip-signals-'))
    const settingsFile = join(folder, 'settings.json')
    execFileSync('mkfifo', [settingsFile])
    const { child, kill } = startProcess([command, '--settings', settingsFile])
    t.after(async () => {
      await kill()
      await rm(folder, { recursive: true })
    })
    const exited = once(child, 'exit')
    // Opening the pipe completes when the process opens it to read its settings.
    const pipe = await open(settingsFile, 'w')
    child.kill('SIGHUP')
    await sleep(200)
    await pipe.writeFile('invalid').catch(() => {})
    await pipe.close()
    assert.deepEqual(await exited, [EXIT_USAGE, null])
  })
}
