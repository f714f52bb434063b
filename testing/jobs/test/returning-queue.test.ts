import assert from 'node:assert/strict'
import { readFile } from 'node:fs/promises'
import { test } from 'node:test'
import { JobProcesses, waitUntil } from '@wisteriaslip/testing.jobs'

const demand = { cpu: 1_000, memMb: 100, accelerators: 0 }
const services = [{ name: 'quoting' }, { name: 'surveys' }]
const queues = [{ name: 'quotes', service: 'quoting' }, { name: 'photos', service: 'surveys' }]

interface LogLine { readonly msg?: string, readonly service?: string, readonly resource?: string, readonly token?: number }

async function logOf (site: JobProcesses): Promise<LogLine[]> {
  const texts = await Promise.all(site.entries.map(async ({ logFile }) => await readFile(logFile, 'utf8')))
  return texts.join('').split('\n').filter(line => line.startsWith('{')).map(line => JSON.parse(line) as LogLine)
}

// The service's next term began under the same token as the one before, and started what still ran elsewhere as if nothing had.
test('a service that loses its last queue and gets it back is led under another token, and its tasks run once', async () => {
  const site = await JobProcesses.start({ entries: 2, plan: () => ({ runMs: 4_000, how: 'done', demand, members: 1 }) })
  try {
    const job = { id: 'j-1', queue: 'quotes', steps: [{ tasks: 6, demand, estimateMs: 0 }] }
    assert.equal((await site.call(0, 'POST', '/v1/jobs', job))?.status, 202)
    const { recordedRuns } = site.hosts.workers
    await waitUntil('all tasks run', () => recordedRuns.length >= 6)
    const termsEnded = async (): Promise<number> => (await logOf(site)).filter(line => line.msg === 'term ended' && line.resource === 'service/quoting').length
    const endedBefore = await termsEnded()
    assert.equal((await site.call(0, 'POST', '/v1/job-config', { version: 2, services, queues: queues.slice(1) }))?.status, 200)
    await waitUntil('the term has ended', async () => await termsEnded() > endedBefore)
    assert.equal((await site.call(0, 'POST', '/v1/job-config', { version: 3, services, queues }))?.status, 200)
    await waitUntil('the job is completed', async () => (await site.call(1, 'GET', '/v1/jobs/quotes/j-1'))?.body.state === 'completed')
    const tokens = (await logOf(site)).filter(line => line.msg === 'term started' && line.service === 'quoting').map(line => line.token)
    assert.ok(tokens.length > 1, 'a second term has begun')
    assert.equal(new Set(tokens).size, tokens.length, `tokens of the terms: ${tokens.join(', ')}`)
    assert.equal(recordedRuns.length, 6)
  } finally {
    await site.stop()
  }
})
