import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { Site } from '@wisteriaslip/testing.site'

const MAX_POLLS = 600
const POLL_INTERVAL_MS = 50

function tenant (quota: number) {
  return { kind: 'tenant', name: 'everyone', quota }
}

async function readQuota (site: Site, index: number): Promise<number | undefined> {
  const response = await site.callOperatorApi(index, 'GET', '/v1/documents?kind=tenant&name=everyone', undefined)
  const [found] = (response?.body as { documents: Array<{ document: { quota: number } }> } | undefined)?.documents ?? []
  return found?.document.quota
}

async function waitUntil (condition: () => Promise<boolean>, description: string): Promise<number> {
  const at = performance.now()
  for (let attempt = 0; attempt < MAX_POLLS; attempt++) {
    if (await condition()) return Math.round(performance.now() - at)
    await sleep(POLL_INTERVAL_MS)
  }
  assert.fail(`timed out waiting until ${description}`)
}

/** Polls every entry and records each quota that is lower than one that the entry showed before. */
function recordReverts (site: Site, signal: AbortSignal): { reverts: string[], done: Promise<unknown> } {
  const reverts: string[] = []
  const done = Promise.all(site.entries.map(async (entry, index) => {
    let highest = 0
    while (!signal.aborted) {
      const quota = await readQuota(site, index)
      if (quota !== undefined && quota < highest) reverts.push(`${entry.id}: ${highest} then ${quota}`)
      highest = Math.max(highest, quota ?? 0)
      await sleep(POLL_INTERVAL_MS)
    }
  }))
  return { reverts, done }
}

test('every entry, also one that is disconnected or restarted, applies new configuration and never reverts it', { timeout: 180_000 }, async t => {
  const site = await Site.start({ entries: 3, pools: ['quoting'], executorsPerPool: 2 })
  t.after(async () => await site.stop())
  const stopRecording = new AbortController()
  const watch = recordReverts(site, stopRecording.signal)
  const allEntriesShow = async (quota: number): Promise<boolean> => (await Promise.all(site.entries.map(async (_, index) => await readQuota(site, index)))).every(each => each === quota)

  await site.apply([tenant(2)])
  const plain = await waitUntil(async () => await allEntriesShow(2), 'all entries apply the configuration')

  site.entries[2]?.storeProxy.setStalled(true)
  await sleep(1_000)
  await site.apply([tenant(3)])
  const cutOff = await waitUntil(async () => await allEntriesShow(3), 'an entry without the store applies the configuration')

  site.store.setFaults({ stallWatches: true })
  await site.callOperatorApi(0, 'GET', '/v1/status', undefined)
  await site.apply([tenant(4)])
  const silent = await waitUntil(async () => await allEntriesShow(4), 'all entries apply the configuration while watches are stalled')
  site.store.setFaults({ stallWatches: false })
  site.entries[2]?.storeProxy.setStalled(false)

  site.store.setFaults({ down: true })
  await site.entries[1]?.process.kill()
  site.restart(site.entries[1] as (typeof site.entries)[number])
  const fromPeers = await waitUntil(async () => await readQuota(site, 1) === 4, 'a restarted entry applies the configuration while the store is down')
  site.store.setFaults({ down: false })
  for (const entry of site.entries) await entry.process.kill()
  for (const entry of site.entries) site.restart(entry)
  await waitUntil(async () => await allEntriesShow(4), 'all entries apply the configuration after a restart')
  stopRecording.abort()
  await watch.done
  assert.deepEqual(watch.reverts, [])
  t.diagnostic(JSON.stringify({ plain, cutOff, silent, fromPeers }))
})

test('refuses one of two changes that are based on the same revision', { timeout: 60_000 }, async t => {
  const site = await Site.start({ entries: 2, pools: ['quoting'], executorsPerPool: 1 })
  t.after(async () => await site.stop())
  const revision = await site.apply([tenant(2)])
  await waitUntil(async () => await readQuota(site, 1) === 2, 'both entries apply the configuration')
  const seen = { 'tenant/everyone': revision }
  const responses = await Promise.all([0, 1].map(async index => await site.callOperatorApi(index, 'POST', '/v1/apply', { documents: [tenant(10 + index)], seen })))
  assert.deepEqual(responses.map(response => response?.status).sort(), [200, 409])
  const refused = responses.find(response => response?.status === 409)
  assert.equal((refused?.body as { code: string }).code, 'DOCUMENT_CONFLICT')
})

test('refuses invalid documents with path, value and fix, and writes nothing', { timeout: 60_000 }, async t => {
  const site = await Site.start({ entries: 1, pools: ['quoting'], executorsPerPool: 1 })
  t.after(async () => await site.stop())
  const before = (await site.status(0))?.revision
  const bad = [
    { kind: 'tenant', name: 'x', quota: -1 },
    { kind: 'tenant', name: 'x', colour: 'red' },
    { kind: 'workload', name: 'w', match: { pathPrefix: '/w' }, poolSelector: { service: 'nowhere' }, class: 'normal', idempotent: true, deadlineMs: 100, maxRunMs: 50 }
  ]
  const messages: string[] = []
  for (const document of bad) {
    const response = await site.callOperatorApi(0, 'POST', '/v1/apply', { documents: [tenant(5), document] })
    assert.equal(response?.status, 422)
    messages.push((response?.body as { message: string }).message)
  }
  assert.match(messages[0] ?? '', /quota.*-1/)
  assert.match(messages[1] ?? '', /unknown key colour/)
  assert.match(messages[2] ?? '', /poolSelector matches 0 pools/)
  assert.equal((await site.status(0))?.revision, before)
  assert.equal(await readQuota(site, 0), 1)
})
