import { delay, executorsOf, manifestOf, runCase } from '../stand-ins-2/site.mjs'

const JOB = 'a0a0000000000007'
const QUEUE = '/quote-archive/'
const services = ['quoting', 'surveys']
const ENTRIES = 7
const FROZEN_MS = 3_500
/** How long the client waits for the answer to its POST. */
const DEADLINE_MS = 3_000
/** `cancel_ms` and `stopTimeoutMs` are over by then, and the frozen machine has been in touch again for a while. */
const LOOK_MS = 8_000

await runCase(import.meta.dirname, async (site, { trouble }) => {
  const opts = { demand: () => 5_200, workMs: () => Infinity }
  const routes = [{ prefix: QUEUE, service: 'quoting' }, { prefix: '/survey-score/', service: 'surveys' }]
  await site.start({ entries: ENTRIES, manifest: manifestOf(4, routes, services), executors: services.flatMap(service => executorsOf(service, 8, opts)) })
  await delay(2_000)
  const number = site.entries.findIndex(entry => !leaders(site).includes(entry.name))
  const entry = site.entries[number]
  if (trouble) site.signal(entry, 'SIGSTOP')
  const thawed = delay(FROZEN_MS).then(() => { if (trouble) site.signal(entry, 'SIGCONT') })
  const job = { spec: 'an archive', steps: [{ count: 5, cpu: 5_200, memMb: 14_000, estimateMs: 500, longRunning: true, mayMiss: 1 }] }
  const answer = await site.call(number, 'POST', QUEUE + JOB, job, { timeoutMs: DEADLINE_MS })
  if (trouble && answer.status !== 0) throw new Error('the frozen entry has answered')
  // The client gives the job up, and cancels it at another entry until that is acknowledged.
  const cancelled = await cancel(site, (number + 1) % ENTRIES)
  const acknowledgedAt = site.now()
  await thawed
  await delay(LOOK_MS)
  await site.call((number + 2) % ENTRIES, 'GET', QUEUE + JOB)
  const running = site.executors.reduce((sum, executor) => sum + executor.runs.size, 0)
  if (running > 0) return `UNASKED: ${running} work units run ${site.now() - acknowledgedAt} ms after the job's cancelling was answered ${cancelled.status}`
})

async function cancel (site, number) {
  for (;;) {
    const answer = await site.call(number, 'DELETE', QUEUE + JOB)
    if ([200, 410].includes(answer.status)) return answer
    await delay(200)
  }
}

/** Returns the names of the entries that lead something. */
function leaders (site) {
  const records = ['service/quoting', 'service/surveys', 'fleet'].map(resource => site.store.read(`wisteriaslip/leaders/${resource}`))
  return records.map(record => record?.value.id)
}
