import { reportTwice } from '../stand-ins/checks.mjs'
import { runCase, sleep } from '../stand-ins/site.mjs'

const JOB = '/stock/00000000000000a1'
/** The first step of the example in PROTOCOL.md, with more work units. */
const STEP = { count: 2_400, cpu: 500, memMb: 256, estimateMs: 900 }
const WORK_MS = 700
const OUTAGE_MS = 4_500

await runCase(import.meta.dirname, async (site, trouble) => {
  const services = [{ name: 'depot' }, { name: 'quoting' }]
  const routes = [{ name: 'stock-match', host: 'site.example', prefix: '/stock/', service: 'depot' }, { name: 'quote-price', host: 'site.example', prefix: '/quote/', service: 'quoting' }]
  await site.start({ entries: 3, services, routes })
  for (const service of ['depot', 'quoting']) {
    for (const number of [1, 2]) await site.addWorker({ id: `i-${service}-${number}`, service, work: () => WORK_MS, demand: () => ({ cpu: STEP.cpu, memMb: STEP.memMb }) })
  }
  if (!await site.waitForLeaders(['depot', 'quoting'])) return undefined
  const answer = await site.client(site.entries[0], 'POST', JOB, { body: { spec: 'match', steps: [STEP] } })
  if (answer?.status !== 200) return undefined
  const starts = () => site.log.filter(({ kind }) => kind === 'start').length
  if (!await site.until(() => starts() >= 300, 20_000)) return undefined
  if (trouble) {
    site.record('store-down', { forMs: OUTAGE_MS })
    site.store.fault('busy')
    await sleep(OUTAGE_MS)
    site.store.fault('ok')
    site.record('store-up', {})
  }
  const isCompleted = async () => (await site.client(site.entries[1], 'GET', JOB))?.body?.state === 'completed'
  if (!await site.until(isCompleted, 60_000, 1_000)) {
    console.log('not completed in time')
    return undefined
  }
  return reportTwice(site)
})
