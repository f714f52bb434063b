import assert from 'node:assert/strict'
import { test } from 'node:test'
import { systemClock } from '@wisteriaslip/core.result'
import { recordingLogger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import { encodeEnvelope, StoreClient } from '@wisteriaslip/store.client'
import { followStore, Mirror } from '@wisteriaslip/store.mirror'
import { waitUntil } from '@wisteriaslip/testing.jobs'
import { MemoryDriver } from '@wisteriaslip/testing.stand-ins'

const PROBE_PERIOD_MS = 30
const PROBES = 10
const oddTexts = ['', '{', 'null', '{"writes":[],"value":', '['.repeat(200_000) + ']'.repeat(200_000)]

// The count of keys never matched the mirror's, so each probe listed all keys again and replaced the watch.
test('keys with values that cannot be decoded are left out, and the watch of the others goes on', async t => {
  const driver = new MemoryDriver()
  const put = async (key: string, value: string): Promise<void> => { await driver.txn({ guards: [], puts: [{ key, value }], deletes: [] }) }
  await put('p/good', encodeEnvelope(1, 'w', undefined))
  for (const [number, text] of oddTexts.entries()) await put(`p/odd-${number}`, text)
  let probes = 0
  const { range } = driver
  driver.range = async (key, opts) => {
    const result = await range.call(driver, key, opts)
    if (opts.minModRevision !== undefined) probes += 1
    return result
  }
  const awaitProbes = async (): Promise<void> => {
    const until = probes + PROBES
    await waitUntil(`${PROBES} probes of the watch`, () => probes >= until)
  }
  const logged: string[] = []
  const mirror = new Mirror()
  const end = new AbortController()
  t.after(() => end.abort())
  const store = new StoreClient(driver, { readsPerSecond: 1e6, writesPerSecond: 1e6, metrics: new Metrics() })
  const following = followStore(store, mirror, { prefix: 'p/', signal: end.signal, clock: systemClock, logger: recordingLogger(logged), probePeriodMs: PROBE_PERIOD_MS })
  await awaitProbes()
  assert.equal(mirror.get('p/good')?.value, 1)
  assert.equal(mirror.size(), 1)
  assert.ok(!logged.includes('watch missed changes; opening a new one'))
  await put('p/later', encodeEnvelope(2, 'w', undefined))
  await awaitProbes()
  assert.equal(mirror.get('p/later')?.value, 2)
  assert.equal(logged.filter(message => message.startsWith('cannot decode the values')).length, 1)
  end.abort()
  await following
})
