/**
 * The store does some writes late and does not answer them. A client whose job had no answer but 504 cancels it at another entry, and is told
 * that there is no such job. The write is carried out afterwards.
 */
import { bounds, playCase, sleep, trouble } from '../stand-ins-3/site.mjs'

const LATE_MS = 5_500
/** Largest share of the writes that the site file names for `platform_lost`. */
const MAX_LOST_SHARE = 0.35
const TRAFFIC_MS = 4_000
const TRAFFIC_EVERY_MS = 100

await playCase(import.meta.dirname, async site => {
  await site.start({ pools: { crewdesk: 6, quoting: 4, backoffice: 2 }, routes: [{ name: 'r-crew', prefix: '/crew406/', service: 'crewdesk' }, { name: 'r-quote', prefix: '/quote551/', service: 'quoting' }] })
  const id = site.newId()
  const path = `/crew406/${id}`
  const writes = { all: 0, lost: 0 }
  site.store.fault = ({ setKeys }) => {
    writes.all += 1
    if (!trouble || !setKeys.some(({ key }) => key.endsWith(`/jobs/${id}`))) return undefined
    writes.lost += 1
    return { lateMs: LATE_MS, done: ({ status }) => site.record(`the store carries a write of the job out late -> ${status}`) }
  }
  const traffic = sendTraffic(site)
  const job = site.job([{ count: 2, ms: 6_000, cpu: 4_000, memMb: 1_000 }, { count: 2, ms: 3_000, cpu: 4_000, memMb: 1_000, after: [0] }])
  const answer = await site.ask(site.entries[0], 'POST', path, job)
  if (trouble && answer?.status === 200) throw new Error('the job was accepted')
  const cancelled = await site.ask(site.entries[1], 'DELETE', path)
  const ackedAt = performance.now()
  if (cancelled === undefined || (cancelled.status !== 410 && cancelled.status >= 300)) throw new Error('the cancellation was not acknowledged')
  await traffic
  site.record(`${writes.lost} of ${writes.all} writes had no answer`)
  if (writes.lost > writes.all * MAX_LOST_SHARE) throw new Error('more writes were lost than the site file allows')
  await sleep(18_000)
  await site.ask(site.entries[2], 'GET', path)
  return site.runsOf(id).filter(run => run.startedAt - ackedAt > bounds.cancel_ms).map(run => `UNASKED: ${run.task} starts on ${run.executor.id} ${Math.round(run.startedAt - ackedAt)} ms after the job's cancelling was acknowledged with ${cancelled.status}`)
})

/** Other clients hand small jobs in at the other entries. */
async function sendTraffic (site) {
  const until = performance.now() + TRAFFIC_MS
  for (let at = 0; performance.now() < until; at++) {
    site.call(site.entries[1 + at % 2], 'POST', `/quote551/${site.newId()}`, site.job([{ count: 1, ms: 300, cpu: 2_000, memMb: 500 }]))
    await sleep(TRAFFIC_EVERY_MS)
  }
}
