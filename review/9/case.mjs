import { Advice } from '../stand-ins-2/advice.mjs'
import { bounds, delay, executorsOf, manifestOf, runCase } from '../stand-ins-2/site.mjs'

const JOBS = ['b0b0000000000901', 'b0b0000000000902']
const QUEUE = '/crew-book/'
const services = ['crewdesk', 'surveys']
const figures = { decisionMs: 400, eachMs: 100, validityMs: 10_000 }
const EXECUTORS = 24
/** A quarter of those that there are. */
const ADDED = 6
const LOOK_MS = 3_000

await runCase(import.meta.dirname, async (site, { trouble }) => {
  const advice = await Advice.start(`${site.net}.4`, { ...figures, note: text => site.note(text) })
  site.moreSettings = { recommendation: advice.address }
  const common = { demand: () => 7_700, workMs: () => 1_300 }
  const crew = executorsOf('crewdesk', EXECUTORS + ADDED, { ...common, isTicketValid: (task, id, ticket) => advice.isValid(task, id, ticket) })
  const routes = [{ prefix: QUEUE, service: 'crewdesk', recommendation: figures }, { prefix: '/survey-score/', service: 'surveys' }]
  await site.start({ manifest: manifestOf(4, routes, services), executors: [...crew.slice(0, EXECUTORS), ...executorsOf('surveys', 8, common)] })
  await delay(2_000)
  // The first job shows that the queue works.
  await submit(site, JOBS[0])
  await site.until('the first job is completed', async () => (await site.call(1, 'GET', QUEUE + JOBS[0])).body?.state === 'completed' || !await delay(500), 15_000)
  if (trouble) for (const opts of crew.slice(EXECUTORS)) await site.addExecutor(opts)
  await delay(bounds.contactMs)
  await submit(site, JOBS[1])
  const sentAt = site.now()
  await delay(bounds.finish_s * 1_000 + LOOK_MS)
  await site.call(1, 'GET', QUEUE + JOBS[1])
  const begun = site.runs.some(({ kind, task }) => kind === 'start' && task.startsWith(JOBS[1]))
  advice.close()
  if (!begun) return `LOST: nothing of job ${JOBS[1]} has run ${site.now() - sentAt} ms after it was accepted; all executors are idle`
})

async function submit (site, id) {
  const job = { spec: 'a booking', steps: [{ count: 8, cpu: 7_700, memMb: 7_800, estimateMs: 1_300 }] }
  if ((await site.call(0, 'POST', QUEUE + id, job)).status !== 200) throw new Error('a job was not accepted')
}
