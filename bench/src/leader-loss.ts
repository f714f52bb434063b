/**
 * Measures the wait of urgent requests after the pool's leader is killed, or frozen so that its lease expires, during a
 * flood of background requests. Seven entries run as processes, and urgent requests go to the surviving ones. The wait is
 * the time that the caller measures minus the execution time.
 * @module
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { Agent } from 'undici'
import { sendRequest, Site, type SiteEntry } from '@wisteriaslip/testing.site'
import { quantile, round } from './statistics.ts'

const POOL = 'quoting'
const FLOOD_CALLERS = 120
const FLOOD_SERVICE_MS = 60
const URGENT_SERVICE_MS = 20
const URGENT_INTERVAL_MS = 25
const URGENT_PHASE_MS = 9_000

/** Figures of the urgent requests, and the slot overruns of all executors. */
export interface LeaderLossResult {
  readonly urgent: number
  readonly refused: number
  readonly waitP50Ms: number
  readonly waitP99Ms: number
  readonly waitMaxMs: number
  readonly overruns: number
}

/**
 * Starts a site, sends the signal to the leader and measures urgent requests from then on.
 * @param fault - signal sent to the leader
 * @param binary - path of the built binary
 * @returns figures of the urgent requests
 * @throws Error if the pool has no leader
 */
export async function benchLeaderLoss (fault: 'SIGKILL' | 'SIGSTOP', binary: string): Promise<LeaderLossResult> {
  const site = await Site.start({ entries: 7, pools: [POOL], executorsPerPool: 8, deadlineMs: 4_000, binary, logLevel: 'warn' })
  const stopFlood = new AbortController()
  try {
    const leader = await findLeader(site)
    const others = site.entries.filter(entry => entry !== leader)
    const flood = runFlood(others, stopFlood.signal)
    await sleep(3_000)
    leader.process.child.kill(fault)
    const { waits, refused } = await sendUrgentRequests(others)
    stopFlood.abort()
    await flood
    return {
      urgent: waits.length,
      refused,
      waitP50Ms: round(quantile(waits, 0.5), 1),
      waitP99Ms: round(quantile(waits, 0.99), 1),
      waitMaxMs: round(Math.max(...waits), 1),
      overruns: site.executors.reduce((sum, executor) => sum + executor.maxSlotOverrun(), 0)
    }
  } finally {
    stopFlood.abort()
    await site.stop()
  }
}

async function findLeader (site: Site): Promise<SiteEntry> {
  const status = await site.status(0)
  const id = status?.pools[0]?.leader
  const leader = site.entries.find(entry => entry.id === id)
  if (leader === undefined) throw new Error('the pool has no leader')
  return leader
}

async function runFlood (entries: readonly SiteEntry[], signal: AbortSignal): Promise<void> {
  const agent = new Agent({ connections: FLOOD_CALLERS })
  await Promise.all(Array.from({ length: FLOOD_CALLERS }, async (_, caller) => {
    const entry = entries[caller % entries.length]
    while (!signal.aborted) {
      const reply = await sendRequest(`${entry?.callers ?? ''}/${POOL}/read?ms=${FLOOD_SERVICE_MS}`, { method: 'POST', headers: { 'wisteriaslip-class': 'background', 'x-op': 'flood' }, dispatcher: agent })
      if (reply.kind !== 'answer' || reply.status !== 200) await sleep(20)
    }
  }))
  await agent.destroy()
}

async function sendUrgentRequests (entries: readonly SiteEntry[]): Promise<{ waits: number[], refused: number }> {
  const agent = new Agent({ connections: 64 })
  const waits: number[] = []
  let refused = 0
  const calls: Array<Promise<void>> = []
  const endAt = performance.now() + URGENT_PHASE_MS
  for (let index = 0; performance.now() < endAt; index++) {
    calls.push(sendUrgentRequest(entries[index % entries.length], agent).then(wait => {
      if (wait === undefined) refused += 1
      else waits.push(wait)
    }))
    await sleep(URGENT_INTERVAL_MS)
  }
  await Promise.all(calls)
  await agent.destroy()
  return { waits, refused }
}

async function sendUrgentRequest (entry: SiteEntry | undefined, agent: Agent): Promise<number | undefined> {
  const at = performance.now()
  const reply = await sendRequest(`${entry?.callers ?? ''}/${POOL}/write?ms=${URGENT_SERVICE_MS}`, { method: 'POST', headers: { 'wisteriaslip-class': 'urgent', 'x-op': 'urgent' }, dispatcher: agent })
  if (reply.kind !== 'answer' || reply.status !== 200) return undefined
  return performance.now() - at - URGENT_SERVICE_MS
}
