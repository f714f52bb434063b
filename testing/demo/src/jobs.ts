import { JobProcesses, waitUntil } from '@wisteriaslip/testing.jobs'

const demand = { cpu: 1_000, memMb: 256, accelerators: 0 }
const steps = [{ tasks: 6, demand, estimateMs: 500 }, { tasks: 3, demand, estimateMs: 500, after: [0] }]
const RUN_DURATION_MS = 500

/**
 * Runs a job to completion, then a second one whose leader is killed while its first step runs.
 * @param print - prints a line
 * @returns the site, still running
 * @throws when the site does not start or a job does not complete in time
 */
export async function runJobDemo (print: (line: string) => void): Promise<JobProcesses> {
  const site = await JobProcesses.start({ entries: 3, plan: () => ({ runMs: RUN_DURATION_MS, how: 'done', demand, members: 1 }), logLevel: 'warn' })
  await submitJob(site, 'calm')
  print(`Job calm completed after ${site.hosts.workers.recordedRuns.length} runs.`)
  const leader = await site.findLeader('quoting')
  const submission = submitJob(site, 'stormy', (leader + 1) % site.entries.length)
  await waitUntil('the first step of job stormy is running', () => site.hosts.workers.recordedRuns.some(run => run.task.startsWith('stormy.')))
  await site.entries[leader]?.process.kill()
  print(`Killed ${site.entries[leader]?.id ?? ''}, the leader of job stormy, while the job was running.`)
  await submission
  const runs = site.hosts.workers.recordedRuns.filter(run => run.task.startsWith('stormy.'))
  print(`Job stormy completed after ${runs.length} runs; the new leader is ${site.entries[await site.findLeader('quoting')]?.id ?? 'nobody'}.`)
  return site
}

async function submitJob (site: JobProcesses, id: string, entry = 0): Promise<void> {
  await site.call(entry, 'POST', '/v1/jobs', { id, queue: 'quotes', steps })
  await waitUntil(`job ${id} is completed`, async () => (await site.call(entry, 'GET', `/v1/jobs/quotes/${id}`))?.body.state === 'completed')
}
