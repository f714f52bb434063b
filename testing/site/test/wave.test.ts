import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { checkHistory } from '@wisteriaslip/testing.history'
import { runCallers, seededRandom, Site } from '@wisteriaslip/testing.site'

const MAX_POLLS = 400

async function waitUntilDone (site: Site, wave: string, total: number): Promise<void> {
  for (let attempt = 0; attempt < MAX_POLLS; attempt++) {
    const statuses = await Promise.all(site.entries.map(async (_, index) => await site.status(index)))
    const done = statuses.some(status => status?.waves.filter(each => each.wave === wave).reduce((sum, each) => sum + each.done, 0) === total)
    if (done) return
    await sleep(250)
  }
  const status = await site.status(0)
  throw new Error(`timed out waiting for the wave to complete: ${JSON.stringify(status?.waves)}`)
}

test('a wave reboots every VM once within the budget and loses no request', { timeout: 180_000 }, async t => {
  const site = await Site.start({ entries: 3, pools: ['quoting', 'depot'], executorsPerPool: 3, rebootMs: 800 })
  t.after(async () => await site.stop())
  const stopTraffic = new AbortController()
  const traffic = runCallers(site, { callers: 8, pool: 'quoting', random: seededRandom(3), signal: stopTraffic.signal, faultShare: 0 })
  await site.apply([{ kind: 'wave', name: 'kernel', selector: { service: ['quoting', 'depot'] } }])
  await waitUntilDone(site, 'kernel', 6)
  stopTraffic.abort()
  const attempts = await traffic
  const starts = site.executors.flatMap(executor => executor.starts)
  assert.deepEqual(checkHistory({ attempts, starts, faultyEntries: new Set() }), [])
  assert.deepEqual([...site.platform?.reboots ?? []].sort(), site.executors.map(executor => executor.name).sort())
  assert.deepEqual(site.executors.map(executor => executor.interruptedRequests), site.executors.map(() => 0))
  for (const most of site.maxVmsDown.values()) assert.ok(most <= 1)
  const refused = attempts.filter(({ reply }) => reply.kind === 'answer' && reply.outcome !== undefined)
  t.diagnostic(JSON.stringify({ attempts: attempts.length, refused: refused.length }))
})

test('a wave continues after the loss of its leader and a store outage', { timeout: 180_000 }, async t => {
  const site = await Site.start({ entries: 3, pools: ['quoting'], executorsPerPool: 3, rebootMs: 800 })
  t.after(async () => await site.stop())
  await site.apply([{ kind: 'wave', name: 'kernel', selector: { service: 'quoting' } }])
  const status = await site.status(0)
  const leader = site.entries.find(entry => entry.id === status?.pools[0]?.leader) ?? site.entries[0]
  await sleep(700)
  await leader?.process.kill()
  if (leader !== undefined) site.restart(leader)
  await sleep(2_000)
  site.store.setFaults({ down: true })
  await sleep(4_000)
  site.store.setFaults({ down: false })
  site.store.setFaults({ lostReplyShare: 0.2 })
  await waitUntilDone(site, 'kernel', 3)
  assert.deepEqual([...site.platform?.reboots ?? []].sort(), ['quoting-0', 'quoting-1', 'quoting-2'])
  for (const most of site.maxVmsDown.values()) assert.ok(most <= 1)
})

test('a changed label moves a VM to another pool', { timeout: 60_000 }, async t => {
  const site = await Site.start({ entries: 2, pools: ['quoting', 'depot'], executorsPerPool: 2 })
  t.after(async () => await site.stop())
  const listed = await site.callOperatorApi(0, 'GET', '/v1/documents?kind=vm&name=depot-0', undefined)
  const { document } = (listed?.body as { documents: Array<{ document: Record<string, unknown> }> }).documents[0] ?? {}
  await site.apply([{ ...document, labels: { service: 'quoting' } }])
  for (let attempt = 0; attempt < MAX_POLLS; attempt++) {
    const pools = (await site.status(1))?.pools ?? []
    const inQuoting = Object.keys(pools.find(pool => pool.pool === 'quoting')?.vms ?? {})
    const inDepot = Object.keys(pools.find(pool => pool.pool === 'depot')?.vms ?? {})
    assert.equal(inQuoting.length + inDepot.length, 4)
    if (inQuoting.includes('depot-0')) return
    await sleep(100)
  }
  assert.fail('timed out waiting for the VM to move')
})
