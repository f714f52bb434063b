import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { plainStep, waitUntil, withSite } from '@wisteriaslip/testing.jobs'

const OBJECTIVE_MS = 100
const CALM_MS = 60
const DISTURBED_MS = 96

test('a leader finds what slows serving tasks down, says so, and moves it to where there is room', async () => {
  await withSite(async site => {
    site.addWorkers(...Array.from({ length: 9 }, (_, number) => `worker${number}`))
    assert.equal(site.workers.registrations().length, 12)
    site.plan = () => ({ runMs: 600_000, demand: { cpu: 100, memMb: 100, accelerators: 0 } })
    site.workers.checkpointOf = task => task.startsWith('fill.') ? 'saved' : ''
    site.workers.loadOf = (task, tasks) => task.startsWith('fill.') ? 100 : tasks.some(each => each.startsWith('fill.')) ? DISTURBED_MS : CALM_MS
    const demand = { cpu: 100, memMb: 100, accelerators: 0 }
    const runsOf = (job: string): typeof site.workers.recordedRuns => site.workers.recordedRuns.filter(run => run.task.startsWith(`${job}.`))
    const activeWorkers = (job: string): string[] => runsOf(job).filter(run => run.endedAt === undefined).map(run => run.worker)
    const { term } = await site.elect()
    await site.intake.submit(site.request('serve', [plainStep({ tasks: 9, demand, lasting: true, perWorker: 1, image: 'api', latencyTargetMs: OBJECTIVE_MS })]))
    await waitUntil('all serve', () => activeWorkers('serve').length === 9)
    await site.intake.submit(site.request('fill', [plainStep({ tasks: 6, demand, estimateMs: 600_000, perWorker: 1, image: 'crunch', backfill: true, checkpoints: true })]))
    await waitUntil('all fill', () => activeWorkers('fill').length === 6)
    const serving = new Set(activeWorkers('serve'))
    const beside = (): number => activeWorkers('fill').filter(worker => serving.has(worker)).length
    assert.equal(beside(), 6, 'they are packed')
    await waitUntil('the pair is found', () => site.logged.includes('images that slow each other down are kept apart'))
    const { keptApart } = term.explain({ kind: 'pool', name: 's' }) as { keptApart: Array<{ image: string, slowsDown: string }> }
    assert.deepEqual(keptApart.map(({ image, slowsDown }) => ({ image, slowsDown })), [{ image: 'crunch', slowsDown: 'api' }])
    await waitUntil('there is no more room elsewhere', () => beside() === 3 && activeWorkers('fill').length === 6)
    await delay(2_500)
    assert.equal(beside(), 3)
    assert.equal(runsOf('fill').length, 9, 'three were moved, once')
    assert.equal(activeWorkers('serve').length, 9)
  })
})
