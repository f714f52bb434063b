import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { checkHistory } from '@wisteriaslip/testing.history'
import { runCallers, seededRandom, Site, type SiteEntry } from '@wisteriaslip/testing.site'

const SEEDS = (process.env.WISTERIASLIP_SEEDS ?? '11,12').split(',').map(Number)
const CALLER_COUNT = 24
const POOL = 'donations'

async function findLeader (site: Site): Promise<SiteEntry | undefined> {
  for (const index of site.entries.keys()) {
    const status = await site.status(index)
    const leader = status?.pools.find(pool => pool.pool === POOL)?.leader
    if (leader !== undefined) return site.entries.find(entry => entry.id === leader)
  }
  return undefined
}

async function killAndReplace (site: Site, entry: SiteEntry, faultyIds: Set<string>): Promise<void> {
  faultyIds.add(entry.id)
  await entry.process.kill()
  await sleep(1_500)
  site.restart(entry)
}

async function freeze (entry: SiteEntry, ms: number, faultyIds: Set<string>): Promise<void> {
  faultyIds.add(entry.id)
  entry.process.child.kill('SIGSTOP')
  await sleep(ms)
  entry.process.child.kill('SIGCONT')
}

/** Disconnects the entry from the store and blocks calls of its peers to it; its own calls to peers still succeed. */
async function disconnect (entry: SiteEntry, ms: number, faultyIds: Set<string>): Promise<void> {
  faultyIds.add(entry.id)
  entry.storeProxy.setStalled(true)
  entry.peerProxy.setStalled(true)
  await sleep(ms)
  entry.storeProxy.setStalled(false)
  entry.peerProxy.setStalled(false)
}

async function injectFaults (site: Site, random: () => number, faultyIds: Set<string>): Promise<void> {
  const pickEntry = (): SiteEntry => site.entries[Math.floor(random() * site.entries.length)] as SiteEntry
  await sleep(2_000)
  site.executors[0]?.stallConnections()
  site.store.setFaults({ lostReplyShare: 0.3 })
  await sleep(2_000)
  await killAndReplace(site, await findLeader(site) ?? pickEntry(), faultyIds)
  await sleep(1_000)
  const leader = await findLeader(site) ?? pickEntry()
  await freeze(leader, 5_000, faultyIds)
  site.store.setFaults({ lostReplyShare: 0 })
  await Promise.all([disconnect(await findLeader(site) ?? pickEntry(), 7_000, faultyIds), disconnect(pickEntry(), 12_000, faultyIds)])
  await sleep(1_500)
  site.store.setFaults({ down: true })
  await sleep(5_000)
  for (const executor of site.executors) executor.stallConnections()
  await freeze(pickEntry(), 3_000, faultyIds)
  await sleep(14_000)
  await killAndReplace(site, pickEntry(), faultyIds)
  await sleep(8_000)
  site.store.setFaults({ down: false })
  await sleep(3_000)
  site.store.setFaults({ lostReplyShare: 0.3 })
  await Promise.all([killAndReplace(site, pickEntry(), faultyIds), freeze(pickEntry(), 4_500, faultyIds)])
  site.store.setFaults({ lostReplyShare: 0 })
  await sleep(3_000)
}

for (const seed of SEEDS) {
  test(`seven entries violate no guarantee under faults, seed ${seed}`, { timeout: 240_000 }, async t => {
    const random = seededRandom(seed)
    const site = await Site.start({ entries: 7, pools: [POOL, 'support'], executorsPerPool: 8, deadlineMs: 3_000, random: seededRandom(seed + 1_000) })
    t.after(async () => await site.stop())
    const faultyIds = new Set<string>()
    const stopTraffic = new AbortController()
    const traffic = runCallers(site, { callers: CALLER_COUNT, pool: POOL, random, signal: stopTraffic.signal, faultShare: 0.05 })
    await injectFaults(site, random, faultyIds)
    stopTraffic.abort()
    const attempts = await traffic
    const starts = site.executors.flatMap(executor => executor.starts)
    const violations = checkHistory({ attempts, starts, faultyEntries: faultyIds })
    const answered = attempts.filter(({ reply }) => reply.kind === 'answer' && reply.status === 200).length
    t.diagnostic(JSON.stringify({ attempts: attempts.length, answered, starts: starts.length, outcomes: countOutcomes(attempts) }))
    assert.deepEqual(violations, [])
    assert.deepEqual(site.executors.map(executor => executor.maxSlotOverrun()), site.executors.map(() => 0))
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
