import { runCase, sleep } from '../stand-ins/site.mjs'

const SERVICES = 20
const BACK_AFTER_MS = 3_000
const RECOVERY_MS = 12_000
const FINISH_MS = 14_000
const JOBS = 10

await runCase(import.meta.dirname, async (site, trouble) => {
  const services = Array.from({ length: SERVICES }, (_, number) => ({ name: `pool-${String(number).padStart(2, '0')}` }))
  const routes = services.map(({ name }) => ({ name: `queue-${name}`, host: 'site.example', prefix: `/${name}/`, service: name }))
  await site.start({ entries: 3, services, routes })
  for (const { name } of services) await site.addWorker({ id: `i-${name}`, service: name, work: () => 300, demand: () => ({ cpu: 500, memMb: 256 }) })
  if (!await site.waitForLeaders(services.map(({ name }) => name), 20_000)) return undefined
  const [entry] = site.entries
  const submit = async round => {
    const paths = []
    for (const { name } of services.slice(0, JOBS)) {
      const path = `/${name}/${(0xe00000 + 0x100 * round + paths.length).toString(16).padStart(16, '0')}`
      const answer = await site.client(entry, 'POST', path, { body: { spec: 'match', steps: [{ count: 2, cpu: 500, memMb: 256, estimateMs: 300 }] } })
      if (answer?.status === 200) paths.push(path)
    }
    return paths
  }
  const countCompleted = async paths => {
    let completed = 0
    for (const path of paths) if ((await site.client(entry, 'GET', path))?.body?.state === 'completed') completed += 1
    return completed
  }
  const before = await submit(0)
  await sleep(5_000)
  if (before.length !== JOBS || await countCompleted(before) !== JOBS) return undefined
  if (trouble) {
    // All machines lose power at the same moment; one comes back, the others are lost for good.
    for (const each of site.entries) site.signal(each, 'SIGKILL')
    await sleep(BACK_AFTER_MS)
    site.startEntry(entry)
  }
  await sleep(RECOVERY_MS)
  const after = await submit(1)
  await sleep(FINISH_MS)
  const completed = await countCompleted(after)
  const led = (await site.status(entry))?.services?.filter(({ leader }) => leader !== undefined).length
  const verdict = { accepted: after.length, completed, servicesWithLeader: led, refusedWrites: site.store.refused.length, firstRefused: site.store.refused[0]?.slice(0, 300) ?? '' }
  site.record('verdict', verdict)
  console.log(JSON.stringify({ ...verdict, firstRefused: undefined }))
  if (after.length === 0) return undefined
  return completed === after.length
})
