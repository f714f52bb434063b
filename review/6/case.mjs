import { delay, executorsOf, manifestOf, runCase } from '../stand-ins-2/site.mjs'

const JOB = 'b0b0000000000006'
const QUEUE = '/quote-price/'
const services = ['quoting', 'surveys']
/** The queue goes to `service`; the other routes stay as they are. */
const routes = service => [{ prefix: QUEUE, service }, { prefix: '/quote-archive/', service: 'quoting' }, { prefix: '/survey-score/', service: 'surveys' }]

await runCase(import.meta.dirname, async (site, { trouble }) => {
  const opts = { demand: () => 3_500, workMs: () => 1_000 }
  await site.start({ manifest: manifestOf(4, routes('quoting'), services), executors: services.flatMap(service => executorsOf(service, 8, opts)) })
  await delay(2_000)
  const job = { spec: 'a quote', steps: [{ count: 6, cpu: 3_500, memMb: 3_600, estimateMs: 1_000 }] }
  if ((await site.call(0, 'POST', QUEUE + JOB, job)).status !== 200) throw new Error('the job was not accepted')
  await delay(500)
  if (trouble) site.setManifest(manifestOf(7, routes('surveys'), services))
  await delay(4_000)
  const state = await site.call(1, 'GET', QUEUE + JOB)
  // The same request once more, seconds after its answer, as the pages allow.
  await site.call(1, 'POST', QUEUE + JOB, job)
  await delay(3_000)
  return findSecondStart(site.runs) ?? (state.status === 410 ? 'LOST: a GET for the accepted job was answered 410' : undefined)
})

/** Returns a start of a work unit after an end `done` of it that had been taken note of. */
function findSecondStart (events) {
  const noted = new Map()
  for (const { kind, how, task, executor, at } of events) {
    if (kind === 'noted' && how === 'done') noted.set(task, `${executor}, taken note of at ${at} ms`)
    if (kind === 'start' && noted.has(task)) return `TWICE: ${task} started on ${executor} at ${at} ms, though a run of it had ended 'done' on ${noted.get(task)}`
  }
}
