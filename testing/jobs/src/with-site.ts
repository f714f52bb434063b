import { JobSite } from './job-site.ts'
import { waitUntil } from './wait-until.ts'

/**
 * Runs a test on a site with three workers, and closes the site afterwards.
 * @param run - the test
 */
export async function withSite (run: (site: JobSite) => Promise<void>): Promise<void> {
  const site = new JobSite()
  try {
    site.addWorkers('w1', 'w2', 'w3')
    await run(site)
  } finally {
    await site.close()
  }
}

/**
 * Waits until callers see a job in a state.
 * @param site - the site
 * @param id - id of the job
 * @param state - the state
 */
export async function untilState (site: JobSite, id: string, state: string): Promise<void> {
  await waitUntil(`${id} is ${state}`, async () => await site.intake.state(site.queue, id) === state)
}
