import { JobProcesses, waitUntil } from '@wisteriaslip/testing.jobs'

const demand = { cpu: 1_000, memMb: 256, accelerators: 0 }
const steps = [{ tasks: 6, demand, estimateMs: 500 }, { tasks: 3, demand, estimateMs: 500, after: [0] }]
const RUN_MS = 500

/**
 * Runs one job to its end, and one whose leader dies while its first step runs.
 * @param say - prints a line
 * @returns the site, which goes on
 */
export async function showJobs (say: (line: string) => void): Promise<JobProcesses> {
  const site = await JobProcesses.start({ entries: 3, plan: () => ({ ms: RUN_MS, how: 'done', demand, members: 1 }), logLevel: 'warn' })
  await handIn(site, 'calm')
  say(`Job calm is completed after ${site.hosts.workers.seen.length} runs.`)
  const leader = await site.findLeader('quoting')
  const handingIn = handIn(site, 'stormy', (leader + 1) % site.entries.length)
  await waitUntil('its first step runs', () => site.hosts.workers.seen.some(run => run.task.startsWith('stormy.')))
  await site.entries[leader]?.process.kill()
  say(`Job stormy runs; its leader ${site.entries[leader]?.id ?? ''} was killed.`)
  await handingIn
  const runs = site.hosts.workers.seen.filter(run => run.task.startsWith('stormy.'))
  say(`Job stormy is completed after ${runs.length} runs; the new leader is ${site.entries[await site.findLeader('quoting')]?.id ?? 'nobody'}.`)
  return site
}

async function handIn (site: JobProcesses, id: string, entry = 0): Promise<void> {
  await site.call(entry, 'POST', '/v1/jobs', { id, queue: 'quotes', steps })
  await waitUntil(`${id} is completed`, async () => (await site.call(entry, 'GET', `/v1/jobs/quotes/${id}`))?.body.state === 'completed')
}
