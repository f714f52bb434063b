import { recommendation, runCase, sleep } from '../stand-ins/site.mjs'

const EXECUTORS = 4
const LASTING_JOBS = 4
const LASTING = { count: 1, cpu: 60_000, memMb: 8_000, estimateMs: 500, longRunning: true }
/** One work unit of the site's `crew-book` takes 7.7 cores and 1.3 s. */
const STEP = { count: 1, cpu: 7_700, memMb: 8_000, estimateMs: 1_300 }
const WORK_MS = 1_300
const FINISH_MS = 14_000
const JOB = '/crew/00000000000000a5'

await runCase(import.meta.dirname, async (site, trouble) => {
  const services = [{ name: 'crewdesk' }, { name: 'quoting' }]
  const routes = [
    { name: 'crew-roster', host: 'site.example', prefix: '/roster/', service: 'crewdesk', recommendation },
    { name: 'crew-book', host: 'site.example', prefix: '/crew/', service: 'crewdesk' },
    { name: 'quote-price', host: 'site.example', prefix: '/quote/', service: 'quoting' }
  ]
  const isLasting = task => task.startsWith('00000000000000b')
  await site.start({ entries: 3, services, routes, allows: (_step, worker) => worker === 'i-crewdesk-1' })
  for (let number = 1; number <= EXECUTORS; number++) {
    await site.addWorker({ id: `i-crewdesk-${number}`, service: 'crewdesk', work: task => isLasting(task) ? undefined : WORK_MS, demand: task => isLasting(task) ? LASTING : STEP })
  }
  await site.addWorker({ id: 'i-quoting-1', service: 'quoting', work: () => 300, demand: () => ({ cpu: 1_000, memMb: 100 }) })
  if (!await site.waitForLeaders(['crewdesk', 'quoting'])) return undefined
  const lastingJobs = trouble ? LASTING_JOBS : 0
  for (let number = 0; number < lastingJobs; number++) {
    if ((await site.client(site.entries[0], 'POST', `/roster/00000000000000b${number}`, { body: { spec: 'roster', steps: [LASTING] } }))?.status !== 200) return undefined
  }
  if (trouble && !await site.until(() => site.log.some(({ kind }) => kind === 'start'), 10_000)) return undefined
  await sleep(2_000)
  if ((await site.client(site.entries[1], 'POST', JOB, { body: { spec: 'book', steps: [STEP] } }))?.status !== 200) return undefined
  await sleep(FINISH_MS)
  const shown = (await site.client(site.entries[1], 'GET', JOB))?.body?.state
  const starts = site.log.filter(({ kind, task }) => kind === 'start' && !isLasting(task)).length
  const idle = [...site.workers.values()].filter(({ service, runs }) => service === 'crewdesk' && runs.size === 0).map(({ id }) => id)
  site.record('verdict', { shown, starts, idleExecutors: idle })
  console.log(`after ${FINISH_MS} ms shown as ${shown}, starts ${starts}, idle executors ${idle.join()}`)
  if (shown === undefined) return undefined
  return starts > 0
})
