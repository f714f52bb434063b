/**
 * Urgent work while the pool's leader is killed, or frozen past its lease, in the middle of a flood of background work:
 * seven entries as processes, urgent requests through those that live. The wait is the caller's time less the run.
 * @module
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { Agent } from 'undici'
import { callOnce, Site, type SiteEntry } from '@wisteriaslip/testing.site'
import { quantile, round } from './statistics.ts'

const POOL = 'quoting'
const FLOOD_CALLERS = 120
const FLOOD_RUN_MS = 60
const URGENT_RUN_MS = 20
const URGENT_GAP_MS = 25
const AFTER_MS = 9_000

/** What urgent requests met. */
export interface LeaderLossResult {
  readonly urgent: number
  readonly refused: number
  readonly waitP50Ms: number
  readonly waitP99Ms: number
  readonly waitMaxMs: number
  readonly overruns: number
}

/**
 * @param fault - what happens to the leader
 * @param binary - path of the built binary
 * @returns what urgent requests met from the fault on
 */
export async function benchLeaderLoss (fault: 'SIGKILL' | 'SIGSTOP', binary: string): Promise<LeaderLossResult> {
  const site = await Site.start({ entries: 7, pools: [POOL], executorsPerPool: 8, deadlineMs: 4_000, binary, logLevel: 'warn' })
  const ended = new AbortController()
  try {
    const leader = await leaderOf(site)
    const others = site.entries.filter(entry => entry !== leader)
    const flood = floodFrom(others, ended.signal)
    await sleep(3_000)
    leader.process.child.kill(fault)
    const { waits, refused } = await urgentThrough(others)
    ended.abort()
    await flood
    return {
      urgent: waits.length,
      refused,
      waitP50Ms: round(quantile(waits, 0.5), 1),
      waitP99Ms: round(quantile(waits, 0.99), 1),
      waitMaxMs: round(Math.max(...waits), 1),
      overruns: site.executors.reduce((sum, executor) => sum + executor.overrun(), 0)
    }
  } finally {
    ended.abort()
    await site.stop()
  }
}

async function leaderOf (site: Site): Promise<SiteEntry> {
  const status = await site.status(0)
  const id = status?.pools[0]?.leader
  const leader = site.entries.find(entry => entry.id === id)
  if (leader === undefined) throw new Error('no leader')
  return leader
}

async function floodFrom (entries: readonly SiteEntry[], signal: AbortSignal): Promise<void> {
  const agent = new Agent({ connections: FLOOD_CALLERS })
  await Promise.all(Array.from({ length: FLOOD_CALLERS }, async (_, caller) => {
    const entry = entries[caller % entries.length]
    while (!signal.aborted) {
      const reply = await callOnce(`${entry?.callers ?? ''}/${POOL}/read?ms=${FLOOD_RUN_MS}`, { method: 'POST', headers: { 'wisteriaslip-class': 'background', 'x-op': 'flood' }, dispatcher: agent })
      if (reply.kind !== 'answer' || reply.status !== 200) await sleep(20)
    }
  }))
  await agent.destroy()
}

async function urgentThrough (entries: readonly SiteEntry[]): Promise<{ waits: number[], refused: number }> {
  const agent = new Agent({ connections: 64 })
  const waits: number[] = []
  let refused = 0
  const calls: Array<Promise<void>> = []
  const until = performance.now() + AFTER_MS
  for (let index = 0; performance.now() < until; index++) {
    calls.push(urgentCall(entries[index % entries.length], agent).then(wait => {
      if (wait === undefined) refused += 1
      else waits.push(wait)
    }))
    await sleep(URGENT_GAP_MS)
  }
  await Promise.all(calls)
  await agent.destroy()
  return { waits, refused }
}

async function urgentCall (entry: SiteEntry | undefined, agent: Agent): Promise<number | undefined> {
  const at = performance.now()
  const reply = await callOnce(`${entry?.callers ?? ''}/${POOL}/write?ms=${URGENT_RUN_MS}`, { method: 'POST', headers: { 'wisteriaslip-class': 'urgent', 'x-op': 'urgent' }, dispatcher: agent })
  if (reply.kind !== 'answer' || reply.status !== 200) return undefined
  return performance.now() - at - URGENT_RUN_MS
}
