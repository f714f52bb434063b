import { setTimeout as sleep } from 'node:timers/promises'
import { Agent } from 'undici'
import type { Attempt } from '@wisteriaslip/testing.history'
import { callOnce, type CallerReply } from './caller.ts'
import type { Site } from './site.ts'

const MAX_KEYED_TRIES = 3
const PAUSE_MS = 20
/** Share of keyed requests that are sent twice at once through two entries. */
const TWICE_SHARE = 0.3

/** Options of {@link runCallers}. */
export interface TrafficOpts {
  readonly callers: number
  readonly pool: string
  /** Random numbers in [0, 1). */
  readonly random: () => number
  readonly signal: AbortSignal
  /** Share of requests that meet a fault at the executor. */
  readonly faultShare: number
}

/**
 * Concurrent callers send requests through all entries in turn until the signal aborts.
 * @param site - to call
 * @param opts - how many, and how often they meet faults
 * @returns every attempt with what it was told
 */
export async function runCallers (site: Site, opts: TrafficOpts): Promise<Attempt[]> {
  const attempts: Attempt[] = []
  const agent = new Agent({ connections: opts.callers, keepAliveTimeout: 1_000 })
  const callers = Array.from({ length: opts.callers }, async (_, caller) => {
    for (let index = 0; !opts.signal.aborted; index++) {
      await oneRequest(site, opts, agent, `op-${caller}-${index}`, attempts)
      await sleep(PAUSE_MS)
    }
  })
  await Promise.all(callers)
  await agent.destroy()
  return attempts
}

async function oneRequest (site: Site, opts: TrafficOpts, agent: Agent, op: string, attempts: Attempt[]): Promise<void> {
  const { random } = opts
  const kind = random()
  const idempotent = kind < 0.3
  const key = kind < 0.6 ? undefined : kind < 0.85 ? `key-${op}` : await issuedKey(site, random, agent)
  const faults = idempotent ? ['die', 'silent', 'crossed'] : ['die', 'crossed']
  const fault = random() < opts.faultShare ? `&fault=${faults[Math.floor(random() * faults.length)] ?? ''}` : ''
  const urgent = random() < 0.3
  const path = `/${opts.pool}/${idempotent ? 'read' : 'write'}?ms=${Math.floor(random() * 60)}&bytes=${Math.floor(random() * 2_000)}${fault}`
  const send = async (): Promise<boolean> => {
    const entry = site.entries[Math.floor(random() * site.entries.length)]
    if (entry === undefined) return true
    const sent = `body of ${op}`
    const headers = { 'x-op': op, ...(key === undefined ? {} : { 'idempotency-key': key }), ...(urgent ? { 'wisteriaslip-class': 'urgent' } : {}) }
    const reply = await callOnce(`${entry.callers}${path}`, { method: 'POST', headers, body: sent, dispatcher: agent, timeoutMs: 15_000 })
    attempts.push({ op, key, idempotent, sent, entry: entry.id, reply })
    return isFinal(reply)
  }
  if (key === undefined) {
    await send()
    return
  }
  if (random() < TWICE_SHARE) await Promise.all([send(), send()])
  for (let attempt = 0; attempt < MAX_KEYED_TRIES; attempt++) {
    if (await send()) return
    await sleep(200)
  }
}

async function issuedKey (site: Site, random: () => number, agent: Agent): Promise<string | undefined> {
  const entry = site.entries[Math.floor(random() * site.entries.length)]
  const reply = await callOnce(`${entry?.callers ?? ''}/idempotency-keys`, { method: 'POST', dispatcher: agent, timeoutMs: 2_000 })
  if (reply.kind !== 'answer' || reply.status !== 201) return undefined
  return (JSON.parse(reply.body) as { key: string }).key
}

function isFinal (reply: CallerReply): boolean {
  return reply.kind === 'answer' && reply.outcome === undefined
}
