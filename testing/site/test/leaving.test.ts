import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { sendRequest, Site, type SiteEntry } from '@wisteriaslip/testing.site'

const DRAIN_WAIT_MS = 3_000
const POLL_INTERVAL_MS = 10
const MAX_WAIT_MS = 20_000
/** More than one, as all requests of a single caller go to the first of the entry's nearby targets. */
const CALLERS_PER_ENTRY = 4

async function callUntilAborted (entry: SiteEntry | undefined, signal: AbortSignal, query = 'ms=5'): Promise<number> {
  let failures = 0
  while (!signal.aborted) {
    const reply = await sendRequest(`${entry?.callers ?? ''}/quoting/write?${query}`, { method: 'POST', headers: { 'x-op': 'x' } })
    if (reply.kind !== 'answer' || reply.status !== 200) failures += 1
    await sleep(POLL_INTERVAL_MS)
  }
  return failures
}

/** Waits until the numbers of requests started by the targets meet the condition. */
async function waitUntilStarted (site: Site, condition: (starts: readonly number[]) => boolean): Promise<void> {
  const starts = (): number[] => site.executors.map(executor => executor.starts.length)
  for (let waited = 0; !condition(starts()) && waited < MAX_WAIT_MS; waited += POLL_INTERVAL_MS) await sleep(POLL_INTERVAL_MS)
  assert.ok(condition(starts()), `targets started ${starts().join(', ')} requests`)
}

test('a target that is listed as leaving or is cordoned gets no new requests after a few seconds', { timeout: 60_000 }, async t => {
  const site = await Site.start({ entries: 3, pools: ['quoting'], executorsPerPool: 4 })
  t.after(async () => await site.stop())
  const stopCallers = new AbortController()
  const callers = Array(CALLERS_PER_ENTRY).fill(site.entries).flat().map(async (entry: SiteEntry) => await callUntilAborted(entry, stopCallers.signal))
  await waitUntilStarted(site, starts => starts.slice(0, 2).every(count => count > 0))
  site.platform?.setState('quoting-0', 'leaving')
  const listed = await site.callOperatorApi(0, 'GET', '/v1/documents?kind=vm&name=quoting-1', undefined)
  const { document } = (listed?.body as { documents: Array<{ document: object }> }).documents[0] ?? {}
  await site.apply([{ ...document, cordoned: true }])
  await sleep(DRAIN_WAIT_MS)
  const before = site.executors.map(executor => executor.starts.length)
  await sleep(DRAIN_WAIT_MS)
  const after = site.executors.map(executor => executor.starts.length)
  stopCallers.abort()
  assert.deepEqual(await Promise.all(callers), callers.map(() => 0))
  assert.ok((before[0] ?? 0) > 0 && (before[1] ?? 0) > 0)
  assert.equal(after[0], before[0])
  assert.equal(after[1], before[1])
  assert.ok((after[2] ?? 0) > (before[2] ?? 0))
})

test('a graceful shutdown of an entry completes the requests in progress', { timeout: 60_000 }, async t => {
  const site = await Site.start({ entries: 2, pools: ['quoting'], executorsPerPool: 4 })
  t.after(async () => await site.stop())
  const requestsInProgress = Array.from({ length: 6 }, async (_, index) => await sendRequest(`${site.entries[0]?.callers ?? ''}/quoting/write?ms=1900`, { method: 'POST', headers: { 'x-op': `op-${index}` } }))
  await waitUntilStarted(site, starts => starts.reduce((sum, count) => sum + count, 0) === requestsInProgress.length)
  const exitCode = await site.entries[0]?.process.stop()
  const replies = await Promise.all(requestsInProgress)
  assert.deepEqual(replies.map(reply => reply.kind === 'answer' && reply.status), Array(6).fill(200))
  assert.equal(exitCode, 0)
  const late = await sendRequest(`${site.entries[1]?.callers ?? ''}/quoting/write`, { method: 'POST', headers: { 'x-op': 'late' } })
  assert.equal(late.kind === 'answer' && late.status, 200)
})
