import { reportTwice } from '../stand-ins/checks.mjs'
import { runCase, sleep } from '../stand-ins/site.mjs'

const STEP = { count: 4, cpu: 200, memMb: 256, estimateMs: 3_000 }
const WORK_MS = 3_000
const EXECUTORS = 8
const ROUNDS = 5
const SUBMIT_EVERY_MS = 40
const SUBMITS_PER_ROUND = 75
const OFF_AFTER_MS = 1_200
const OFF_MS = 600

await runCase(import.meta.dirname, async (site, trouble) => {
  const services = [{ name: 'depot' }, { name: 'quoting' }]
  const routes = [{ name: 'stock-match', host: 'site.example', prefix: '/stock/', service: 'depot' }, { name: 'quote-price', host: 'site.example', prefix: '/quote/', service: 'quoting' }]
  await site.start({ entries: 3, services, routes })
  for (let number = 1; number <= EXECUTORS; number++) {
    await site.addWorker({ id: `i-depot-${number}`, service: 'depot', work: () => WORK_MS, demand: () => ({ cpu: STEP.cpu, memMb: STEP.memMb }) })
  }
  await site.addWorker({ id: 'i-quoting-1', service: 'quoting', work: () => 300, demand: () => ({ cpu: 1_000, memMb: 100 }) })
  if (!await site.waitForLeaders(['depot', 'quoting'])) return undefined
  let jobs = 0
  const submit = async () => {
    for (let count = 0; count < SUBMITS_PER_ROUND; count++) {
      jobs += 1
      site.client(site.entries[jobs % 3], 'POST', `/stock/${(0xa00000 + jobs).toString(16).padStart(16, '0')}`, { body: { spec: 'match', steps: [STEP] } })
      await sleep(SUBMIT_EVERY_MS)
    }
  }
  for (let round = 0; round < ROUNDS; round++) {
    const submitted = submit()
    await sleep(OFF_AFTER_MS)
    const [busiest] = [...site.workers.values()].sort((a, b) => b.runs.size - a.runs.size)
    if (trouble) {
      site.powerOff(busiest.id)
      await sleep(OFF_MS)
      await site.powerOn(busiest.id)
    }
    await submitted
    await sleep(9_000)
  }
  return reportTwice(site)
})
