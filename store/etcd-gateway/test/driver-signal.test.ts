import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EtcdDriver } from '@wisteriaslip/store.etcd-gateway'
import { DeafListener } from '@wisteriaslip/testing.stand-ins'

// A call to a machine without power failed only after 10 s, and with it the renewal of a lease that another endpoint would serve.
test('a store call whose connection is not accepted fails when its signal aborts, and is not sent later', async t => {
  const store = await DeafListener.start('{"header":{"revision":"7"},"ID":"1"}')
  t.after(async () => await store.stop())
  const driver = new EtcdDriver([`http://${store.host}:${store.port}`])
  const startedAt = performance.now()
  assert.equal((await driver.grantLease(1_000, AbortSignal.timeout(200))).ok, false)
  assert.ok(performance.now() - startedAt < 5_000)
  store.accept()
  assert.equal((await driver.grantLease(1_000, AbortSignal.timeout(20_000))).ok, true)
  await store.waitForClosed(2)
  assert.equal(store.seen.requests, 1)
})
