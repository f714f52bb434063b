import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SiteView } from '@wisteriaslip/jobs.entry'
import { recordingLogger } from '@wisteriaslip/core.logger'
import { jobStoreLayout } from '@wisteriaslip/jobs.http'

const layout = jobStoreLayout('w')
const registration = { id: 'w1', born: 1, service: 's', host: 'h', port: 1, capacity: { cpu: 1, memMb: 1, accelerators: 0 } }

// A value that cannot be read must not end each entry that reads it.
test('a configuration or registration that cannot be read is skipped, and what is in force stays', () => {
  const logged: string[] = []
  const view = new SiteView(layout, recordingLogger(logged))
  let revision = 0
  const write = (mirror: SiteView['workers'], key: string, text: string): void => {
    revision += 1
    mirror.applySnapshot({ revision, count: 1, kvs: [{ key, value: text, createRevision: 1, modRevision: revision }] })
  }
  write(view.operatorKeys, layout.configKey, JSON.stringify({ version: 1, services: [{ name: 's' }], queues: [{ name: 'q', service: 's' }] }))
  write(view.workers, `${layout.workerPrefix}w1`, JSON.stringify(registration))
  assert.equal(view.workersOf('s')?.length, 1)
  for (const text of ['', '{', 'null', '[]', '{"version":2}', '{"version":2,"services":[null],"queues":[]}']) {
    write(view.operatorKeys, layout.configKey, text)
    write(view.workers, `${layout.workerPrefix}w1`, text)
    assert.equal(view.config()?.version, 1)
    assert.deepEqual(view.workersOf('s'), [])
  }
  write(view.workers, `${layout.workerPrefix}w1`, JSON.stringify(registration))
  assert.equal(view.workersOf('s')?.length, 1)
  assert.ok(logged.includes('cannot decode the value of a key; skipping it'))
})

// A worker that no leader can reach or record delayed each takeover: tasks waited until its lease would have expired.
test('a registration with an address, capacity or start that cannot be is skipped, logged once, and the others are followed', () => {
  const logged: string[] = []
  const view = new SiteView(layout, recordingLogger(logged))
  const text = JSON.stringify(registration)
  const odd = [['"port":1', '"port":99999'], ['"port":1', '"port":0'], ['"host":"h"', '"host":"a b"'], ['"cpu":1', '"cpu":1e999'], ['"born":1', '"born":1e999']]
    .map(([from = '', to = '']) => text.replace(from, to))
  const kvs = [text, ...odd].map((value, number) => ({ key: `${layout.workerPrefix}w${number}`, value, createRevision: 1, modRevision: 1 }))
  view.workers.applySnapshot({ revision: 1, count: kvs.length, kvs })
  assert.deepEqual(view.workersOf('s')?.map(worker => worker.port), [1])
  view.workers.apply({ revision: 2, changed: [{ key: `${layout.workerPrefix}w9`, value: text, createRevision: 2, modRevision: 2 }], deleted: [] })
  assert.equal(view.workersOf('s')?.length, 2)
  assert.equal(logged.length, odd.length)
})

// Incarnations under one id were told apart by the workers' clocks only.
test('a registration tells the revision of its latest change, also if that changed nothing else', () => {
  const view = new SiteView(layout, recordingLogger([]))
  const key = `${layout.workerPrefix}w1`
  for (const revision of [3, 7]) {
    view.workers.apply({ revision, changed: [{ key, value: JSON.stringify(registration), createRevision: 3, modRevision: revision }], deleted: [] })
    assert.deepEqual(view.workersOf('s')?.map(worker => worker.revision), [revision])
  }
})

test('accounts and whether any has a quota are those of the newest configuration', () => {
  const view = new SiteView(layout, recordingLogger([]))
  const account = { name: 'team', keyDigests: [], weight: 1, quota: { cpu: 0, memMb: 0, accelerators: 0 } }
  const config = { version: 1, queues: [], services: [], maxBodyBytes: 1 }
  view.applyConfigIfNewer(config)
  assert.deepEqual([view.account('team'), view.hasQuotas()], [undefined, false])
  view.applyConfigIfNewer({ ...config, version: 2, accounts: [account] })
  assert.deepEqual([view.account('team'), view.hasQuotas()], [account, false])
  view.applyConfigIfNewer({ ...config, version: 3, accounts: [{ ...account, quota: { cpu: 1, memMb: 0, accelerators: 0 } }] })
  assert.equal(view.hasQuotas(), true)
})
