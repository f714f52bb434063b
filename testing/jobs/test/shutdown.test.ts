import assert from 'node:assert/strict'
import { once } from 'node:events'
import { Agent, request, type IncomingMessage } from 'node:http'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { JobProcesses } from '@wisteriaslip/testing.jobs'

const demand = { cpu: 1_000, memMb: 100, accelerators: 0 }
const plan = () => ({ runMs: 400, how: 'done' as const, demand, members: 1 })

/** Sends a GET; resolves to the complete response, rejects if the connection ends before. */
async function get (url: string, agent: Agent): Promise<{ status: number | undefined, connection: string | undefined }> {
  const [res] = await once(request(url, { agent }).end(), 'response') as [IncomingMessage]
  await res.toArray()
  return { status: res.statusCode, connection: res.headers.connection }
}

// Guards against callers that keep their connections to an entry that shuts down, whose end then cuts off a request.
test('every response after a shutdown has begun closes its connection', { timeout: 60_000 }, async t => {
  const site = await JobProcesses.start({ entries: 1, plan })
  t.after(async () => await site.stop())
  const url = `${site.entries[0]?.jobs ?? ''}/v1/jobs/quotes/none`
  const agent = new Agent({ keepAlive: true })
  assert.equal((await get(url, agent)).connection, 'keep-alive')
  site.store.setFaults({ delayMs: 300 })
  const begunBefore = get(url, agent)
  await sleep(100)
  site.entries[0]?.process.child.kill('SIGTERM')
  assert.deepEqual(await begunBefore, { status: 410, connection: 'close' })
  assert.deepEqual(await get(url, agent), { status: 410, connection: 'close' })
})

// Guards against requests that get no response because they last until the end of the grace period.
test('a request that is in progress at the end of the grace period gets a response', { timeout: 60_000 }, async t => {
  const site = await JobProcesses.start({ entries: 1, plan, shutdownMs: 4_500 })
  t.after(async () => await site.stop())
  site.store.setFaults({ delayMs: 700 })
  site.entries[0]?.process.child.kill('SIGTERM')
  await sleep(2_500)
  const response = await get(`${site.entries[0]?.jobs ?? ''}/v1/jobs/quotes/none`, new Agent({ keepAlive: true }))
  assert.deepEqual(response, { status: 504, connection: 'close' })
})
