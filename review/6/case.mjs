import { runCase, sleep } from '../stand-ins/site.mjs'
import { Gangs } from '../stand-ins/worker.mjs'

const ROUNDS = 8
const MEMBERS = 2
const WORK_MS = 2_600
/** The rounds differ in when the job comes and when the machine loses power, as neither knows of the leader's polls. */
const crashAfterMs = round => 1_100 + 130 * round
const pauseMs = round => 190 * round
const OFF_MS = 4_500
const STEP = { count: MEMBERS, cpu: 4_000, memMb: 8_000, estimateMs: WORK_MS, checkpoint: true, gang: true, antiAffinity: 1 }

await runCase(import.meta.dirname, async (site, trouble) => {
  const services = [{ name: 'depot' }, { name: 'quoting' }]
  const routes = [{ name: 'stock-match', host: 'site.example', prefix: '/stock/', service: 'depot' }, { name: 'quote-price', host: 'site.example', prefix: '/quote/', service: 'quoting' }]
  await site.start({ entries: 3, services, routes })
  const gangs = new Gangs({ size: () => MEMBERS, workMs: WORK_MS })
  for (const [number, rack] of ['r1-1', 'r1-2', 'r1-3'].entries()) {
    await site.addWorker({ id: `i-depot-${number + 1}`, service: 'depot', rack, gangs, work: () => undefined, demand: () => ({ cpu: STEP.cpu, memMb: STEP.memMb }) })
  }
  await site.addWorker({ id: 'i-quoting-1', service: 'quoting', work: () => 300, demand: () => ({ cpu: 1_000, memMb: 100 }) })
  if (!await site.waitForLeaders(['depot', 'quoting'])) return undefined
  for (let round = 0; round < ROUNDS; round++) {
    await sleep(pauseMs(round))
    const path = `/stock/${(0xc00000 + round).toString(16).padStart(16, '0')}`
    if ((await site.client(site.entries[0], 'POST', path, { body: { spec: 'match', steps: [STEP] } }))?.status !== 200) return undefined
    if (!await site.until(() => [...site.workers.values()].filter(worker => worker.runs.size > 0).length === MEMBERS, 10_000)) return undefined
    await sleep(crashAfterMs(round))
    if (trouble) {
      const { id } = [...site.workers.values()].find(worker => worker.runs.size > 0)
      site.powerOff(id)
      setTimeout(() => { site.powerOn(id) }, OFF_MS)
    }
    const isCompleted = async () => (await site.client(site.entries[1], 'GET', path))?.body?.state === 'completed'
    if (!await site.until(isCompleted, 20_000, 500)) return undefined
  }
  const runs = new Map()
  for (const { kind, task, attempt, lastCheckpoint = '' } of site.log) {
    if (kind !== 'start') continue
    const run = `${task.slice(0, task.lastIndexOf('.'))}#${attempt}`
    runs.set(run, new Set([...runs.get(run) ?? [], lastCheckpoint]))
  }
  const differing = [...runs].filter(([, values]) => values.size > 1)
  for (const [run, values] of differing) site.record('DIFFERENT-CHECKPOINTS', { run, values: [...values] })
  console.log(`runs of a gang ${runs.size}, with members that carry different checkpoints ${differing.length}`)
  return differing.length === 0
})
