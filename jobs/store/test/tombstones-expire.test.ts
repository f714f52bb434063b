import assert from 'node:assert/strict'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { Metrics } from '@wisteriaslip/core.metrics'
import type { AddressedJob } from '@wisteriaslip/jobs.model'
import { JobKeys, JobRecords } from '@wisteriaslip/jobs.store'
import { StoreClient } from '@wisteriaslip/store.client'
import { EtcdDriver } from '@wisteriaslip/store.etcd-gateway'
import { plainStep, waitUntil } from '@wisteriaslip/testing.jobs'
import { StoreStandIn } from '@wisteriaslip/testing.stand-ins'

const TTL_MS = 2_000
const CANCELLED_IDS = 30
const INDEX_PREFIX = 'w-index/'
const job: AddressedJob = { id: 'j', queue: 'q', address: 'h/q/', service: 's', payload: '', steps: [plainStep()], acceptedAt: 0, acceptedUnder: 1 }

/** Connects an entry to a store on loopback. */
function connect (server: StoreStandIn['server']) {
  const store = new StoreClient(new EtcdDriver([`http://127.0.0.1:${(server.address() as AddressInfo).port}`]), { readsPerSecond: 1e6, writesPerSecond: 1e6, metrics: new Metrics() })
  return { store, records: new JobRecords(store, new JobKeys('w'), { tombstoneTtlMs: TTL_MS }) }
}

// Anyone may cancel any id: tombstones that outlast their use would fill the store.
test('cancelled ids leave nothing in the store, although the entry that stored them does nothing more, and may be used then', async t => {
  const { server } = new StoreStandIn()
  t.after(() => {
    server.close()
    server.closeAllConnections()
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const cancelling = connect(server)
  for (let number = 0; number < CANCELLED_IDS; number++) assert.ok((await cancelling.records.index.cancelId({ ...job, id: `j${number}` })).ok)
  const { store, records } = connect(server)
  const tombstones = async (): Promise<number> => {
    const list = await store.list(INDEX_PREFIX)
    assert.ok(list.ok)
    return list.value.count
  }
  assert.equal(await tombstones(), CANCELLED_IDS)
  assert.equal((await records.accept({ ...job, id: 'j0' })).kind, 'cancelled')
  await waitUntil('all are gone', async () => await tombstones() === 0)
  assert.equal((await records.accept({ ...job, id: 'j0' })).kind, 'stored')
  assert.equal(await tombstones(), 1, 'the index entry of the job stays')
})
