import assert from 'node:assert/strict'
import { test } from 'node:test'
import { delay } from '@wisteriaslip/core.result'
import type { PermitClient } from '@wisteriaslip/jobs.model'
import { plainStep, untilState, waitUntil, withSite } from '@wisteriaslip/testing.jobs'

const cost = { decisionMs: 400, perWorkerMs: 100 }
const NEVER_ABORTED = new AbortController().signal

/** A permit service that decides on one request after the other, also on those that were given up meanwhile. */
function createService (opts: { slowness?: number } = {}): PermitClient {
  let last: Promise<unknown> = Promise.resolve()
  return {
    requestPermits: async (step, workers, { signal }) => {
      const decided = last.then(async () => await delay((cost.decisionMs + cost.perWorkerMs * workers.length) * (opts.slowness ?? 1), NEVER_ABORTED))
      last = decided
      const aborted = new Promise<boolean>(resolve => signal.addEventListener('abort', () => resolve(true), { once: true }))
      if (await Promise.race([aborted, decided.then(() => false)])) return { ok: false, error: { kind: 'unknown', message: 'aborted' } }
      return { ok: true, value: { permits: new Map(workers.map(id => [id, `${step}-${id}`])), validMs: 10_000 } }
    }
  }
}

// A request about 30 workers takes 3.4 s, was given up after 3 s and repeated without end: no job of the queue ran any more.
test('jobs run although a request about all workers takes longer than any fixed timeout', async () => {
  await withSite(async site => {
    site.permitClient = createService()
    site.permitCost = cost
    site.addWorkers(...Array.from({ length: 27 }, (_, number) => `more-${number}`))
    await site.elect()
    const ids = ['a', 'b', 'c']
    for (const id of ids) await site.intake.submit(site.request(id, [plainStep({ tasks: 8, estimateMs: 30 })]))
    for (const id of ids) await untilState(site, id, 'completed')
    assert.equal(site.workers.recordedRuns.length, 24)
  })
})

test('jobs run although the permit service is three times as slow as configured', async () => {
  await withSite(async site => {
    site.permitClient = createService({ slowness: 3 })
    site.permitCost = cost
    site.addWorkers(...Array.from({ length: 27 }, (_, number) => `more-${number}`))
    await site.elect()
    await site.intake.submit(site.request('a', [plainStep({ tasks: 8, estimateMs: 30 })]))
    await untilState(site, 'a', 'completed')
  })
})

test('the request for a long-running step goes before those of gangs that wait', async () => {
  await withSite(async site => {
    const asked: string[] = []
    const service = createService()
    site.permitClient = {
      requestPermits: async (step, workers, opts) => {
        asked.push(step.split('.')[0] ?? '')
        return await service.requestPermits(step, workers, opts)
      }
    }
    site.permitCost = cost
    await site.elect()
    for (const id of ['g1', 'g2', 'g3', 'g4']) await site.intake.submit(site.request(id, [plainStep({ tasks: 2, gang: true, estimateMs: 30 })]))
    await waitUntil('a gang is asked for', () => asked.length > 0)
    await site.intake.submit(site.request('lasting', [plainStep({ lasting: true })]))
    await untilState(site, 'lasting', 'running')
    assert.ok(asked.indexOf('lasting') <= 2, asked.join())
  })
})
