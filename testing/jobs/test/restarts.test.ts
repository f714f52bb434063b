import assert from 'node:assert/strict'
import { once } from 'node:events'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { JobProcesses, KeepAliveCaller, plainStep, waitUntil } from '@wisteriaslip/testing.jobs'
import { seededRandom } from '@wisteriaslip/testing.site'

// By hand: RESTART_SEED=7 RESTART_ROUNDS=20 npm test -- testing/jobs/test/restarts
const seed = Number(process.env.RESTART_SEED ?? 25)
const rounds = Number(process.env.RESTART_ROUNDS ?? 2)
const ENTRIES = 3
const CALLERS_PER_ENTRY = 4
const CALLER_PAUSES_MS = [0, 5, 400, 1_500]
const RUN_MS = 20
const MAX_SIGNAL_GAP_MS = 600
/** Callers that are always busy must not hold up a shutdown. */
const MAX_STOP_MS = 15_000
const demand = { cpu: 100, memMb: 10, accelerators: 0 }

/** What the callers of one test saw. */
class Record {
  readonly accepted = new Set<string>()
  readonly violations: string[] = []
  responses = 0
  unread = 0
}

/** Submits jobs to one entry and queries them, on one connection, until the signal aborts. */
async function callUntilAborted (site: JobProcesses, index: number, opts: { name: string, pauseMs: number, record: Record, signal: AbortSignal }): Promise<void> {
  const { name, pauseMs, record, signal } = opts
  const caller = new KeepAliveCaller(site.entries[index]?.jobs ?? '')
  for (let number = 0; !signal.aborted; number++) {
    const id = `${name}-${Math.floor(number / 10)}`
    const submits = number % 10 === 0
    const reply = submits
      ? await caller.send('POST', '/v1/jobs', { id, queue: 'quotes', steps: [plainStep({ demand, estimateMs: RUN_MS })] })
      : await caller.send('GET', `/v1/jobs/quotes/${id}`)
    if (reply.kind === 'cut') record.violations.push(`${id}: ${reply.message} ${Math.round(reply.afterMs)} ms after it was sent`)
    if (reply.kind === 'unread') record.unread += 1
    if (reply.kind === 'response') record.responses += 1
    if (submits && reply.kind === 'response' && reply.status === 202) record.accepted.add(id)
    if (!submits && reply.kind === 'response') checkState(id, reply, record)
    if (pauseMs > 0) await sleep(pauseMs)
  }
  caller.close()
}

function checkState (id: string, reply: { status: number, body: { state?: unknown } }, record: Record): void {
  if (!record.accepted.has(id)) return
  if (reply.status === 410 || ['failed', 'cancelled'].includes(String(reply.body.state))) record.violations.push(`${id}: ${reply.status} ${JSON.stringify(reply.body)}`)
}

/** Stops an entry, with more signals during its shutdown, and starts it again. */
async function restart (site: JobProcesses, index: number, random: () => number): Promise<void> {
  const pauses = Array.from({ length: 3 }, () => random() * MAX_SIGNAL_GAP_MS)
  const signals = (['SIGTERM', 'SIGHUP', 'SIGTERM'] as const).filter((_signal, number) => number === 0 || random() < 0.5)
  const child = site.entries[index]?.process.child
  assert.ok(child !== undefined)
  const exited = once(child, 'exit', { signal: AbortSignal.timeout(MAX_STOP_MS) })
  for (const [number, signal] of signals.entries()) {
    await sleep(pauses[number])
    child.kill(signal)
  }
  assert.deepEqual(await exited, [0, null])
  site.restart(index)
  await waitUntil('the entry responds again', async () => await site.call(index, 'GET', '/v1/job-status') !== undefined)
}

// Guards against requests that are cut off, and accepted jobs that are lost, when entries are restarted and get signals again and again.
test('callers that keep their connections lose no request and no job while entries get SIGTERM and SIGHUP', { timeout: 60_000 + rounds * 20_000 }, async t => {
  const random = seededRandom(seed)
  const site = await JobProcesses.start({ entries: ENTRIES, plan: () => ({ runMs: RUN_MS, how: 'done', demand, members: 1 }), logLevel: 'warn' })
  const record = new Record()
  const stopCallers = new AbortController()
  t.after(async () => {
    stopCallers.abort()
    await site.stop()
  })
  const callers = site.entries.flatMap((_entry, index) => Array.from({ length: CALLERS_PER_ENTRY }, async (_, number) => {
    await callUntilAborted(site, index, { name: `c-${index}-${number}`, pauseMs: CALLER_PAUSES_MS[number] ?? 0, record, signal: stopCallers.signal })
  }))
  for (let round = 0; round < rounds; round++) {
    const index = Math.floor(random() * ENTRIES)
    const stopped = random() < 0.5 ? [index, (index + 1) % ENTRIES] : [index]
    site.entries[(index + 2) % ENTRIES]?.process.child.kill('SIGHUP')
    await Promise.all(stopped.map(async each => await restart(site, each, random)))
  }
  stopCallers.abort()
  await Promise.all(callers)
  await Promise.all([...record.accepted].map(async id => {
    await waitUntil(`${id} is completed`, async () => (await site.call(0, 'GET', `/v1/jobs/quotes/${id}`))?.body.state === 'completed')
  }))
  t.diagnostic(`${record.responses} responses, ${record.accepted.size} jobs accepted, ${record.unread} requests not read`)
  assert.deepEqual(record.violations, [])
  assert.ok(record.accepted.size > 0)
})
