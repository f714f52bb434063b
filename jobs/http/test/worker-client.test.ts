import assert from 'node:assert/strict'
import { test } from 'node:test'
import { HttpWorkerClient } from '@wisteriaslip/jobs.http'
import { DeafListener } from '@wisteriaslip/testing.stand-ins'

// A command to a worker without power failed only after 10 s, whatever its timeout.
test('a command whose connection is not accepted fails when its signal aborts, and is not sent later', async t => {
  const worker = await DeafListener.start('{"clockMs":1}')
  t.after(async () => await worker.stop())
  const client = new HttpWorkerClient()
  t.after(() => client.close())
  const endpoint = { id: 'w', host: worker.host, port: worker.port, token: 1 }
  const startedAt = performance.now()
  assert.equal((await client.connect(endpoint).stop({ task: 't', attempt: 1 }, AbortSignal.timeout(200))).ok, false)
  assert.ok(performance.now() - startedAt < 5_000)
  worker.accept()
  assert.equal((await client.connect(endpoint).stop({ task: 't', attempt: 2 }, AbortSignal.timeout(20_000))).ok, true)
  await worker.waitForClosed(2)
  assert.equal(worker.seen.requests, 1)
})
