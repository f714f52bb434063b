import { runCase, sleep } from '../stand-ins/site.mjs'

const JOB = '/stock/00000000000000a5'
const STEP = { count: 4, cpu: 4_000, memMb: 8_000, estimateMs: 500, longRunning: true, mayMiss: 1 }
const WITHOUT_ROUTE_MS = 25_000

await runCase(import.meta.dirname, async (site, trouble) => {
  const services = [{ name: 'depot' }, { name: 'quoting' }]
  const stock = { name: 'stock-recon', host: 'site.example', prefix: '/stock/', service: 'depot' }
  const quote = { name: 'quote-price', host: 'site.example', prefix: '/quote/', service: 'quoting' }
  await site.start({ entries: 3, services, routes: [stock, quote] })
  for (const service of ['depot', 'quoting']) {
    for (const number of [1, 2]) await site.addWorker({ id: `i-${service}-${number}`, service, work: () => undefined, demand: () => ({ cpu: STEP.cpu, memMb: STEP.memMb }) })
  }
  if (!await site.waitForLeaders(['depot', 'quoting'])) return undefined
  const answer = await site.client(site.entries[0], 'POST', JOB, { body: { spec: 'recon', steps: [STEP] } })
  if (answer?.status !== 200) return undefined
  const atWork = () => [...site.workers.values()].reduce((sum, worker) => sum + worker.runs.size, 0)
  if (!await site.until(() => atWork() === STEP.count, 20_000)) return undefined
  await sleep(3_000)
  let idleSince
  let longestIdleMs = 0
  const watch = setInterval(() => {
    if (atWork() > 0) idleSince = undefined
    else idleSince ??= site.now()
    if (idleSince !== undefined) longestIdleMs = Math.max(longestIdleMs, site.now() - idleSince)
  }, 100)
  site.configure(2, { services, routes: trouble ? [quote] : [stock, quote] })
  await sleep(WITHOUT_ROUTE_MS)
  site.configure(3, { services, routes: [stock, quote] })
  await sleep(5_000)
  clearInterval(watch)
  const shown = (await site.client(site.entries[1], 'GET', JOB))?.body?.state
  const lapsed = site.log.filter(({ kind, how }) => kind === 'end' && how === 'lapsed').length
  site.record('verdict', { shown, lapsed, longestIdleMs })
  console.log(`runs that lapsed ${lapsed}, longest time with nothing at work ${longestIdleMs} ms, shown afterwards as ${shown}`)
  if (shown === undefined) return undefined
  // LOST holds from 6 s after a work unit's last run, and is broken after 3 s on end; the 3 s before them are calm.
  return longestIdleMs < 9_000
})
