import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { checkHistory } from '@wisteriaslip/testing.history'
import { randomFrom, runCallers, Site, type SiteEntry } from '@wisteriaslip/testing.site'

const SEEDS = (process.env.WISTERIASLIP_SEEDS ?? '11,12').split(',').map(Number)
const CALLERS = 24
const POOL = 'donations'

async function leaderOf (site: Site): Promise<SiteEntry | undefined> {
  for (const index of site.entries.keys()) {
    const status = await site.status(index)
    const leader = status?.pools.find(pool => pool.pool === POOL)?.leader
    if (leader !== undefined) return site.entries.find(entry => entry.id === leader)
  }
  return undefined
}

async function killAndReplace (site: Site, entry: SiteEntry, faulty: Set<string>): Promise<void> {
  faulty.add(entry.id)
  await entry.process.kill()
  await sleep(1_500)
  site.restart(entry)
}

async function freeze (entry: SiteEntry, ms: number, faulty: Set<string>): Promise<void> {
  faulty.add(entry.id)
  entry.process.child.kill('SIGSTOP')
  await sleep(ms)
  entry.process.child.kill('SIGCONT')
}

/** Neither the store nor any peer gets through to it; it goes on calling peers. */
async function cutOff (entry: SiteEntry, ms: number, faulty: Set<string>): Promise<void> {
  faulty.add(entry.id)
  entry.storeWay.setCut(true)
  entry.peerWay.setCut(true)
  await sleep(ms)
  entry.storeWay.setCut(false)
  entry.peerWay.setCut(false)
}

async function faults (site: Site, random: () => number, faulty: Set<string>): Promise<void> {
  const pick = (): SiteEntry => site.entries[Math.floor(random() * site.entries.length)] as SiteEntry
  await sleep(2_000)
  site.executors[0]?.silence()
  site.store.setFaults({ loseReplies: 0.3 })
  await sleep(2_000)
  await killAndReplace(site, await leaderOf(site) ?? pick(), faulty)
  await sleep(1_000)
  const leader = await leaderOf(site) ?? pick()
  await freeze(leader, 5_000, faulty)
  site.store.setFaults({ loseReplies: 0 })
  await Promise.all([cutOff(await leaderOf(site) ?? pick(), 7_000, faulty), cutOff(pick(), 12_000, faulty)])
  await sleep(1_500)
  site.store.setFaults({ down: true })
  await sleep(5_000)
  for (const executor of site.executors) executor.silence()
  await freeze(pick(), 3_000, faulty)
  await sleep(14_000)
  await killAndReplace(site, pick(), faulty)
  await sleep(8_000)
  site.store.setFaults({ down: false })
  await sleep(3_000)
  site.store.setFaults({ loseReplies: 0.3 })
  await Promise.all([killAndReplace(site, pick(), faulty), freeze(pick(), 4_500, faulty)])
  site.store.setFaults({ loseReplies: 0 })
  await sleep(3_000)
}

for (const seed of SEEDS) {
  test(`seven entries under faults keep every promise, seed ${seed}`, { timeout: 240_000 }, async t => {
    const random = randomFrom(seed)
    const site = await Site.start({ entries: 7, pools: [POOL, 'support'], executorsPerPool: 8, deadlineMs: 3_000, random: randomFrom(seed + 1_000) })
    t.after(async () => await site.stop())
    const faulty = new Set<string>()
    const ended = new AbortController()
    const traffic = runCallers(site, { callers: CALLERS, pool: POOL, random, signal: ended.signal, faultShare: 0.05 })
    await faults(site, random, faulty)
    ended.abort()
    const attempts = await traffic
    const starts = site.executors.flatMap(executor => executor.starts)
    const violations = checkHistory({ attempts, starts, faultyEntries: faulty })
    const answered = attempts.filter(({ reply }) => reply.kind === 'answer' && reply.status === 200).length
    t.diagnostic(JSON.stringify({ attempts: attempts.length, answered, starts: starts.length, outcomes: countOutcomes(attempts) }))
    assert.deepEqual(violations, [])
    assert.deepEqual(site.executors.map(executor => executor.overrun()), site.executors.map(() => 0))
    assert.ok(site.executors.every(executor => executor.maxConnections <= 64))
    assert.ok(answered > 0)
  })
}

function countOutcomes (attempts: Awaited<ReturnType<typeof runCallers>>): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const { reply } of attempts) {
    const name = reply.kind === 'no-answer' ? 'no-answer' : reply.outcome === undefined ? 'answer' : (JSON.parse(reply.body) as { code: string }).code
    counts[name] = (counts[name] ?? 0) + 1
  }
  return counts
}
