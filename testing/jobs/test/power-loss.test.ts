import assert from 'node:assert/strict'
import { test } from 'node:test'
import { plainStep, untilState, waitUntil, withSite, type JobSite } from '@wisteriaslip/testing.jobs'

const ID = '00000000000000aa'
const OTHER_ID = '00000000000000bb'

function doneRuns (site: JobSite, job: string): string[] {
  return site.workers.recordedRuns.filter(run => run.task.startsWith(job) && run.how === 'done').map(run => run.task).sort()
}

const tasksOf = (job: string, count: number): string[] => Array.from({ length: count }, (_, index) => `${job}.0.0.${index}`)

test('a job accepted just before all entries lose power is found in the store and runs once', async () => {
  await withSite(async site => {
    const first = await site.elect()
    first.disconnect()
    assert.deepEqual(await site.intake.submit(site.request(ID, [plainStep({ tasks: 4, estimateMs: 30 })])), { kind: 'accepted' })
    await site.elect()
    await untilState(site, ID, 'completed')
    assert.deepEqual(doneRuns(site, ID), tasksOf(ID, 4))
  })
})

test('entries that lose power several times in a row, also while they take over, lose no job and run none twice', async () => {
  await withSite(async site => {
    site.plan = () => ({ runMs: 120 })
    await site.intake.submit(site.request(ID, [plainStep({ tasks: 9, estimateMs: 120 })]))
    for (let fault = 0; fault < 4; fault++) {
      const leader = await site.elect()
      if (fault === 1) await waitUntil('something runs', () => site.workers.recordedRuns.length > 0)
      leader.disconnect()
      if (fault === 2) await site.intake.submit(site.request(OTHER_ID, [plainStep({ tasks: 3, estimateMs: 120 })]))
    }
    await site.elect()
    await untilState(site, ID, 'completed')
    await untilState(site, OTHER_ID, 'completed')
    assert.deepEqual(doneRuns(site, ID), tasksOf(ID, 9))
    assert.deepEqual(doneRuns(site, OTHER_ID), tasksOf(OTHER_ID, 3))
  })
})

test('lost packets: starts whose commands or responses are lost, again and again, complete each task once', async () => {
  await withSite(async site => {
    await site.elect()
    site.workers.startFaults.push('lose-command', 'lose-response', 'late', 'lose-command', 'lose-response', 'lose-response', 'late', 'lose-command')
    await site.intake.submit(site.request(ID, [plainStep({ tasks: 8, estimateMs: 30 })]))
    await untilState(site, ID, 'completed')
    assert.deepEqual(doneRuns(site, ID), tasksOf(ID, 8))
  })
})
