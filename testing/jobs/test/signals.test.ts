import assert from 'node:assert/strict'
import { once } from 'node:events'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { JobProcesses } from '@wisteriaslip/testing.jobs'

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
