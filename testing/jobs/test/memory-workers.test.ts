import assert from 'node:assert/strict'
import { test } from 'node:test'
import { delay } from '@wisteriaslip/core.result'
import { InMemoryWorkers } from '@wisteriaslip/testing.jobs'

const LATE_MS = 200
const { signal } = new AbortController()
const registration = { id: 'w1', born: 1, service: 's', host: 'h', port: 1, zone: 'z', vm: 'vm1', draining: false, capacity: { cpu: 4_000, memMb: 4_000, accelerators: 0 }, labels: [], rack: 'r' }

// A late start was carried out by whichever incarnation had the id by then.
for (const { name, restarts, runs } of [
  { name: 'the incarnation that has accepted the connection', restarts: false, runs: 1 },
  { name: 'nobody once that incarnation has ended', restarts: true, runs: 0 }
]) {
  test(`a late start is carried out by ${name}`, async t => {
    const workers = new InMemoryWorkers(() => performance.now(), () => ({ runMs: 1_000, how: 'done', demand: { cpu: 100, memMb: 100, accelerators: 0 }, members: 1 }))
    t.after(() => workers.close())
    workers.add(registration)
    workers.startFaults.push('late')
    await workers.connect({ id: 'w1', host: 'h', port: 1, token: 1 }).start({ task: 'j.0.0.0', attempt: 1, payload: '', leaseUntilMs: performance.now() + 60_000, checkpoint: '', permit: '' }, signal)
    if (restarts) workers.restart('w1', 0)
    await delay(LATE_MS, signal)
    assert.equal(workers.recordedRuns.length, runs)
  })
}
