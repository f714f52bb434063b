import { runCase, sleep } from '../stand-ins/site.mjs'

const LARGE = '/stock/00000000000000a4'
const STEPS = 5
const UNITS = 9_900
const UNITS_WITHOUT_TROUBLE = 1_000
const WORK_MS = 200
/** The first work unit of each step takes longer than the others. */
const LONG_MS = 58_000
const FINISH_MS = 14_000
const OTHERS = 5
/** Acks: the bound within which an end is taken note of, and the share of ends that may not be. */
const ACK_MS = 4_000
const MAX_UNNOTED_SHARE = 0.2

await runCase(import.meta.dirname, async (site, trouble) => {
  const services = [{ name: 'depot' }]
  const routes = [{ name: 'stock-match', host: 'site.example', prefix: '/stock/', service: 'depot' }]
  await site.start({ entries: 3, services, routes })
  const isLong = task => task.startsWith('00000000000000a4') && task.endsWith('.0')
  for (const number of [1, 2, 3, 4]) {
    await site.addWorker({ id: `i-depot-${number}`, service: 'depot', work: task => isLong(task) ? LONG_MS : WORK_MS, demand: () => ({ cpu: 200, memMb: 50 }) })
  }
  if (!await site.waitForLeaders(['depot'])) return undefined
  const step = { count: trouble ? UNITS : UNITS_WITHOUT_TROUBLE, cpu: 200, memMb: 50, estimateMs: WORK_MS }
  const answer = await site.client(site.entries[0], 'POST', LARGE, { body: { spec: 'match', steps: Array(STEPS).fill(step) } })
  if (answer?.status !== 200) return undefined
  const isRefused = () => site.store.refused.length > 0
  if (trouble && !await site.until(isRefused, 75_000)) {
    console.log('the record of the job did not grow beyond what the store takes')
    return undefined
  }
  site.record('store-refuses', { writes: site.store.refused.length, first: site.store.refused[0] ?? '' })
  const paths = []
  for (let number = 0; number < OTHERS; number++) {
    const path = `/stock/${(0xd00000 + number).toString(16).padStart(16, '0')}`
    if ((await site.client(site.entries[1], 'POST', path, { body: { spec: 'small', steps: [{ ...step, count: 3 }] } }))?.status !== 200) return undefined
    paths.push(path)
  }
  await sleep(FINISH_MS)
  const states = []
  for (const path of paths) states.push((await site.client(site.entries[1], 'GET', path))?.body?.state)
  site.record('others', { states: states.join(), refusedWrites: site.store.refused.length })
  console.log(`small jobs, ${FINISH_MS} ms after their acceptance: ${states.join()}; refused writes ${site.store.refused.length}`)
  const now = site.now()
  const noted = new Set(site.log.filter(({ kind }) => kind === 'noted').map(({ worker, seq }) => `${worker}#${seq}`))
  const ends = site.log.filter(({ kind, at }) => kind === 'end' && at < now - ACK_MS)
  const unnoted = ends.filter(({ worker, seq }) => !noted.has(`${worker}#${seq}`)).length
  const starts = site.log.filter(({ kind }) => kind === 'start').length
  const verdict = { units: STEPS * step.count + 3 * OTHERS, starts, ends: ends.length, endsNotTakenNoteOf: unnoted }
  site.record('verdict', verdict)
  console.log(JSON.stringify(verdict))
  return unnoted <= MAX_UNNOTED_SHARE * ends.length && states.every(state => state === 'completed')
})
