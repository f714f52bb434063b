/**
 * A version of the manifest removes a route and adds one with the same host and prefix that another service runs. Jobs that were accepted
 * before are stored and run, and nobody has cancelled them; clients ask for them, and hand one in again as after a lost answer.
 */
import { bounds, playCase, sleep, trouble } from '../stand-ins-3/site.mjs'

const before = [{ name: 'r-crew', prefix: '/crew406/', service: 'crewdesk' }, { name: 'r-quote', prefix: '/quote551/', service: 'quoting' }, { name: 'r-stock', prefix: '/stock118/', service: 'crewdesk' }]
const after = [...before.filter(route => route.name !== 'r-crew'), { name: 'r-crew-2', prefix: '/crew406/', service: 'quoting' }]

await playCase(import.meta.dirname, async site => {
  const broken = []
  await site.start({ pools: { crewdesk: 6, quoting: 6, backoffice: 2 }, routes: before })
  const paths = { long: `/crew406/${site.newId()}`, short: `/crew406/${site.newId()}`, lasting: `/crew406/${site.newId()}` }
  const ids = Object.fromEntries(Object.entries(paths).map(([name, path]) => [name, path.split('/')[2]]))
  const short = site.job([{ count: 3, ms: 800, cpu: 4_000, memMb: 1_000 }])
  const acked = {
    lasting: await site.submit(paths.lasting, site.job([{ count: 3, ms: 0, cpu: 4_000, memMb: 1_000, antiAffinity: 1 }])),
    short: await site.submit(paths.short, short, 1)
  }
  await site.until(async () => (await site.call(site.entries[0], 'GET', paths.short))?.body?.state === 'completed', 10_000)
  acked.long = await site.submit(paths.long, site.job([{ count: 3, ms: 9_000, cpu: 4_000, memMb: 1_000 }, { count: 2, ms: 9_000, cpu: 4_000, memMb: 1_000, after: [0] }]), 2)
  if (Object.values(acked).includes(undefined)) throw new Error('a job was not accepted')
  await sleep(bounds.visible_ms + 1_000)
  if (trouble) site.configure(after)
  await sleep(bounds.configApplyMs + 1_000)
  // The client of the short job repeats its request, as after a lost answer; it remains one job.
  await site.ask(site.entries[0], 'POST', paths.short, short)
  for (const entry of site.entries) {
    for (const [name, path] of Object.entries(paths)) {
      const sentAt = performance.now()
      const answer = await site.ask(entry, 'GET', path)
      const ageMs = sentAt - acked[name]
      if (answer?.status === 410 && ageMs > bounds.visible_ms) broken.push(`LOST: GET for the accepted job ${ids[name]} (${name}), which nobody has cancelled, is answered 410 by ${entry.name} ${Math.round(ageMs)} ms after its ack`)
    }
  }
  await sleep(4_000)
  for (const [name, id] of Object.entries(ids)) {
    const runs = site.runsOf(id)
    for (const [at, run] of runs.entries()) {
      for (const earlier of runs.slice(0, at).filter(({ task }) => task === run.task)) {
        if (run.startedAt < (earlier.endedAt ?? Infinity)) broken.push(`TWICE: ${run.task} (${name}) runs on ${earlier.executor.id} and ${run.executor.id} at the same time`)
        else if (earlier.how === 'done' && earlier.notedAt !== undefined) broken.push(`TWICE: ${run.task} (${name}) starts on ${run.executor.id} of ${run.service} ${Math.round(run.startedAt - earlier.notedAt)} ms after its end as done on ${earlier.executor.id} of ${earlier.service} was taken note of`)
      }
    }
  }
  return broken
})
