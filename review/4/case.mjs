import { readFileSync } from 'node:fs'
import { runCase, sleep } from '../stand-ins/site.mjs'

const COUNT = Number(process.env.COUNT ?? 5_000)
const REPEATS = 100
const INTERVAL_MS = 1_000
const STEP = { count: COUNT, cpu: 500, memMb: 256, estimateMs: 500 }
const MEMORY_MB = 350
const RESTART_MS = 1_000
const WATCHED_MS = 60_000

function residentMb (pid) {
  try {
    return Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0) / 1_024
  } catch {
    return 0
  }
}

await runCase(import.meta.dirname, async (site, trouble) => {
  const services = [{ name: 'depot' }, { name: 'quoting' }]
  const routes = [{ name: 'stock-match', host: 'site.example', prefix: '/stock/', service: 'depot' }, { name: 'quote-price', host: 'site.example', prefix: '/quote/', service: 'quoting' }]
  await site.start({ entries: 3, services, routes })
  for (const service of ['depot', 'quoting']) {
    for (const number of [1, 2]) await site.addWorker({ id: `i-${service}-${number}`, service, work: () => 500, demand: () => ({ cpu: 500, memMb: 256 }) })
  }
  if (!await site.waitForLeaders(['depot', 'quoting'])) return undefined
  const ends = new Map(site.entries.map(({ name }) => [name, 0]))
  let peakMb = 0
  let isWatching = true
  // The platform kills a process that exceeds its memory, and starts it again after a short delay.
  const watch = setInterval(() => {
    for (const entry of site.entries) {
      if (entry.child.hasEnded) continue
      const mb = residentMb(entry.child.pid)
      peakMb = Math.max(peakMb, mb)
      if (mb > MEMORY_MB && entry.killed !== entry.child) {
        entry.killed = entry.child
        site.record('over-memory', { entry: entry.name, mb: Math.round(mb) })
        entry.child.kill('SIGKILL')
      }
    }
  }, 50)
  for (const entry of site.entries) {
    entry.onExit = () => {
      if (!isWatching) return
      ends.set(entry.name, ends.get(entry.name) + 1)
      setTimeout(() => { if (isWatching) site.startEntry(entry) }, RESTART_MS)
    }
  }
  const small = { body: { spec: 'small', steps: [{ count: 4, cpu: 500, memMb: 256, estimateMs: 500 }] } }
  const large = { body: { spec: 'large', steps: [STEP], repeats: REPEATS, initialDelayMs: Date.now() - REPEATS * INTERVAL_MS, intervalMs: INTERVAL_MS } }
  const answer = await site.client(site.entries[0], 'POST', '/stock/00000000000000a4', trouble ? large : small)
  if (answer?.status !== 200) return undefined
  const until = site.now() + WATCHED_MS
  const accepted = []
  while (site.now() < until) {
    const path = `/quote/${(0xb00000 + accepted.length).toString(16).padStart(16, '0')}`
    for (const entry of site.entries) {
      if ((await site.client(entry, 'POST', path, { ...small, timeoutMs: 1_000 }))?.status !== 200) continue
      accepted.push(path)
      break
    }
    await sleep(1_000)
  }
  const states = []
  for (const path of accepted) {
    let state
    for (const entry of site.entries) state ??= (await site.client(entry, 'GET', path, { timeoutMs: 1_000 }))?.body?.state
    states.push(state)
  }
  isWatching = false
  clearInterval(watch)
  const often = [...ends.values()].filter(count => count >= 3).length
  const fields = { peakMb: Math.round(peakMb), ends: [...ends.values()].join(), machinesWithThreeEnds: often, othersAccepted: accepted.length, othersCompleted: states.filter(state => state === 'completed').length }
  site.record('verdict', fields)
  console.log(JSON.stringify(fields))
  return often < 2
})
