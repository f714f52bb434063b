import assert from 'node:assert/strict'
import { test } from 'node:test'
import { HttpVmPlatform } from '@wisteriaslip/fleet.vm-list'
import { DeafListener } from '@wisteriaslip/testing.stand-ins'

// A call to a platform that does not accept connections failed only after 10 s, not at its timeout of 2 s.
test('a call whose connection is not accepted fails at its timeout', async t => {
  const platform = await DeafListener.start('{"vms":[]}')
  t.after(async () => await platform.stop())
  const startedAt = performance.now()
  assert.equal((await new HttpVmPlatform(`http://${platform.host}:${platform.port}`).list(new AbortController().signal)).ok, false)
  assert.ok(performance.now() - startedAt < 6_000)
})
