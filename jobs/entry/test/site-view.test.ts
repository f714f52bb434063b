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
