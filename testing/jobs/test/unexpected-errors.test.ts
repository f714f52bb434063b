import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ok } from '@wisteriaslip/core.result'
import { plainStep, untilState, withSite, type JobSite } from '@wisteriaslip/testing.jobs'

const IDS = ['00000000000000aa', '00000000000000bb', '00000000000000cc']

/** Far longer than the job takes. */
const COMPLETION_MS = 10_000

/** Lets the given call to workers throw for the next times, and then work as before. */
function throwNext (site: JobSite, method: 'start' | 'poll', times: number): void {
  const { workers } = site
  const original = workers[method].bind(workers) as (...args: unknown[]) => Promise<never>
  let left = times
  const replaced = async (...args: unknown[]): Promise<never> => {
    left -= 1
    if (left >= 0) throw new Error('injected')
    return await original(...args)
  }
  Object.assign(workers, { [method]: replaced })
}

// An unexpected error ended the polls of a worker for the rest of the term, while it counted as responding; that of a start kept
// its task and its capacity just as long.
for (const method of ['start', 'poll'] as const) {
  test(`an unexpected error of a ${method} keeps neither the worker nor its tasks for the rest of the term`, async () => {
    await withSite(async site => {
      await site.elect()
      await site.intake.submit(site.request(IDS[0] as string, [plainStep({ tasks: 3, estimateMs: 0 })]))
      await untilState(site, IDS[0] as string, 'completed')
      throwNext(site, method, 3)
      for (const id of IDS.slice(1)) await site.intake.submit(site.request(id, [plainStep({ tasks: 9, estimateMs: 0 })]))
      for (const id of IDS.slice(1)) await untilState(site, id, 'completed')
      assert.ok(site.logged.some(message => message.includes('failed')))
    })
  })
}

// An unexpected error of a permit request left it marked as sent: the step got no permits, and no start, for the rest of the term.
test('an unexpected error of a permit request keeps the step for no longer than a refusal, and is logged', async () => {
  await withSite(async site => {
    let left = 2
    site.permitClient = {
      requestPermits: async (_step, workers) => {
        left -= 1
        if (left >= 0) throw new Error('injected')
        return ok({ permits: new Map(workers.map(id => [id, 'p'])), validMs: 60_000 })
      }
    }
    await site.elect()
    await site.intake.submit(site.request(IDS[0] as string, [plainStep({ tasks: 3, estimateMs: 0 })]))
    const started = Date.now()
    while (await site.intake.state(site.queue, IDS[0] as string) !== 'completed') {
      assert.ok(Date.now() - started < COMPLETION_MS, 'the job is not completed')
      await new Promise(resolve => setTimeout(resolve, 20))
    }
    assert.ok(site.logged.includes('permit request failed unexpectedly'))
  })
})
