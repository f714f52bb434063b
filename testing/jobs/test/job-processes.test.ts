import assert from 'node:assert/strict'
import { test } from 'node:test'
import { JobProcesses, waitUntil } from '@wisteriaslip/testing.jobs'

const demand = { cpu: 1_000, memMb: 100, accelerators: 0 }
const job = { id: 'j-1', queue: 'quotes', steps: [{ tasks: 4, demand, estimateMs: 400 }, { tasks: 4, demand, estimateMs: 400, after: [0] }] }

test('a job submitted over HTTP can be explained and completes although its leader is killed', async () => {
  const site = await JobProcesses.start({ entries: 3, plan: () => ({ runMs: 400, how: 'done', demand, members: 1 }) })
  try {
    const leader = await site.findLeader('quoting')
    const other = (leader + 1) % site.entries.length
    assert.equal((await site.call(other, 'POST', '/v1/jobs', { ...job, steps: [{ tasks: 0 }] }))?.status, 400)
    assert.equal((await site.call(other, 'POST', '/v1/jobs', { ...job, queue: 'none' }))?.status, 404)
    assert.equal((await site.call(other, 'POST', '/v1/jobs', job))?.status, 202)
    const { workers } = site.hosts
    await waitUntil('the first step runs', () => workers.recordedRuns.length >= 4)
    const explanation = (await site.call(other, 'GET', '/v1/explain?kind=job&name=j-1'))?.body
    assert.equal(explanation?.service, 'quoting')
    assert.equal(explanation?.state, 'running')
    const held = (await site.call(other, 'GET', `/v1/explain?kind=worker&name=${workers.recordedRuns[0]?.worker ?? ''}`))?.body
    assert.equal(held?.takesStarts, true)
    await site.entries[leader]?.process.kill()
    await waitUntil('the job is completed', async () => (await site.call(other, 'GET', '/v1/jobs/quotes/j-1'))?.body.state === 'completed')
    assert.equal((await site.call(other, 'POST', '/v1/jobs', job))?.status, 202)
    const runs = workers.recordedRuns.filter(run => run.task.startsWith('j-1.'))
    assert.equal(new Set(runs.filter(run => run.how === 'done').map(run => run.task)).size, 8)
    for (const run of runs) {
      for (const again of runs) {
        if (run === again || run.task !== again.task || run.how !== 'done') continue
        assert.ok(again.startedAt < (run.endedAt ?? Infinity), `${run.task} ran after it was done`)
      }
    }
    assert.equal((await site.call(other, 'GET', '/v1/jobs/quotes/none'))?.status, 410)
  } finally {
    await site.stop()
  }
})
