import { mkdirSync } from 'node:fs'
import { runCase, sleep } from './site.mjs'
mkdirSync('/tmp/rv/probe', { recursive: true })
await runCase('/tmp/rv/probe', async site => {
  const services = [{ name: 'depot' }, { name: 'quoting' }]
  const routes = [{ name: 'r1', host: 'site.example', prefix: '/stock/', service: 'depot' }, { name: 'r2', host: 'site.example', prefix: '/quote/', service: 'quoting' }]
  await site.start({ entries: 3, services, routes })
  for (const s of ['depot', 'quoting']) for (const n of [1, 2]) await site.addWorker({ id: `i-${s}-${n}`, service: s, work: () => 300, demand: () => ({ cpu: 1000, memMb: 100 }) })
  console.log('leaders', await site.waitForLeaders(['depot', 'quoting']), site.now())
  console.log(JSON.stringify(await site.status(site.entries[0])).slice(0, 600))
  await site.client(site.entries[0], 'POST', '/stock/00000000000000aa', { body: { spec: 'x', steps: [{ count: 20, cpu: 1000, memMb: 100, estimateMs: 300 }] } })
  await sleep(2000)
  console.log(await site.client(site.entries[1], 'GET', '/stock/00000000000000aa'))
  return true
})
