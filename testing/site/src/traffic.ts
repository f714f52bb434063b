import { setTimeout as sleep } from 'node:timers/promises'
import { Agent } from 'undici'
import type { Attempt } from '@wisteriaslip/testing.history'
import { sendRequest, type CallerReply } from './caller.ts'
import type { Site } from './site.ts'

const MAX_KEYED_ATTEMPTS = 3
const REQUEST_PAUSE_MS = 20
/** Share of requests with an idempotency key that are first sent twice concurrently, each through a random entry. */
const DUPLICATE_SHARE = 0.3

/** Options of {@link runCallers}. */
export interface TrafficOpts {
  /** Number of concurrent callers. */
  readonly callers: number
  readonly pool: string
  /** Returns random numbers in [0, 1). */
  readonly random: () => number
  readonly signal: AbortSignal
  /** Share of requests for which the executor simulates a fault. */
  readonly faultShare: number
}

/**
 * Runs concurrent callers that send requests through random entries until the signal aborts.
 * @param site - site to call
 * @param opts - number of callers, pool, share of faults
 * @returns all attempts with their replies
 */
export async function runCallers (site: Site, opts: TrafficOpts): Promise<Attempt[]> {
  const attempts: Attempt[] = []
  const agent = new Agent({ connections: opts.callers, keepAliveTimeout: 1_000 })
  const callers = Array.from({ length: opts.callers }, async (_, caller) => {
    for (let index = 0; !opts.signal.aborted; index++) {
      await runOperation(site, opts, agent, `op-${caller}-${index}`, attempts)
      await sleep(REQUEST_PAUSE_MS)
    }
  })
  await Promise.all(callers)
  await agent.destroy()
  return attempts
}

async function runOperation (site: Site, opts: TrafficOpts, agent: Agent, op: string, attempts: Attempt[]): Promise<void> {
  const { random } = opts
  const kindRoll = random()
  const idempotent = kindRoll < 0.3
  const key = kindRoll < 0.6 ? undefined : kindRoll < 0.85 ? `key-${op}` : await requestIdempotencyKey(site, random, agent)
  const faultKinds = idempotent ? ['die', 'silent', 'crossed'] : ['die', 'crossed']
  const fault = random() < opts.faultShare ? `&fault=${faultKinds[Math.floor(random() * faultKinds.length)] ?? ''}` : ''
  const urgent = random() < 0.3
  const path = `/${opts.pool}/${idempotent ? 'read' : 'write'}?ms=${Math.floor(random() * 60)}&bytes=${Math.floor(random() * 2_000)}${fault}`
  const send = async (): Promise<boolean> => {
    const entry = site.entries[Math.floor(random() * site.entries.length)]
    if (entry === undefined) return true
    const requestBody = `body of ${op}`
    const headers = { 'x-op': op, ...(key === undefined ? {} : { 'idempotency-key': key }), ...(urgent ? { 'wisteriaslip-class': 'urgent' } : {}) }
    const reply = await sendRequest(`${entry.callers}${path}`, { method: 'POST', headers, body: requestBody, dispatcher: agent, timeoutMs: 15_000 })
    attempts.push({ op, key, idempotent, requestBody, entry: entry.id, reply })
    return isFinal(reply)
  }
  if (key === undefined) {
    await send()
    return
  }
  if (random() < DUPLICATE_SHARE) await Promise.all([send(), send()])
  for (let attempt = 0; attempt < MAX_KEYED_ATTEMPTS; attempt++) {
    if (await send()) return
    await sleep(200)
  }
}

async function requestIdempotencyKey (site: Site, random: () => number, agent: Agent): Promise<string | undefined> {
  const entry = site.entries[Math.floor(random() * site.entries.length)]
  const reply = await sendRequest(`${entry?.callers ?? ''}/idempotency-keys`, { method: 'POST', dispatcher: agent, timeoutMs: 2_000 })
  if (reply.kind !== 'answer' || reply.status !== 201) return undefined
  return (JSON.parse(reply.body) as { key: string }).key
}

function isFinal (reply: CallerReply): boolean {
  return reply.kind === 'answer' && reply.outcome === undefined
}
