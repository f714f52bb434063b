import assert from 'node:assert/strict'
import { test } from 'node:test'
import { sendRequest, Site } from '@wisteriaslip/testing.site'

test('a request gets its own complete response through every entry', async t => {
  const site = await Site.start({ entries: 3, pools: ['quoting', 'back-office'], executorsPerPool: 2 })
  t.after(async () => await site.stop())
  const calls = site.entries.flatMap(entry => Array.from({ length: 10 }, async (_, index) => {
    const body = `${entry.id}-${index}`
    const reply = await sendRequest(`${entry.callers}/quoting/write?ms=5&bytes=300000`, { method: 'POST', body, headers: { 'x-op': body } })
    assert.equal(reply.kind, 'answer')
    if (reply.kind !== 'answer') return
    assert.equal(reply.status, 200)
    const response = JSON.parse(reply.body) as { op: string, echo: string, padding: string }
    assert.equal(response.op, body)
    assert.equal(response.echo, body)
    assert.equal(response.padding.length, 300_000)
  }))
  await Promise.all(calls)
  for (const executor of site.executors) assert.equal(executor.maxSlotOverrun(), 0)
})

test('requests with one idempotency key run once across all entries and get the first response again', async t => {
  const site = await Site.start({ entries: 3, pools: ['quoting'], executorsPerPool: 2 })
  t.after(async () => await site.stop())
  const headers = { 'idempotency-key': 'booking-1', 'x-op': 'booking-1' }
  const replies = await Promise.all([0, 1, 2, 0, 1, 2].map(async index => {
    return await sendRequest(`${site.entries[index]?.callers ?? ''}/quoting/write?ms=50`, { method: 'POST', body: 'crew 7', headers })
  }))
  const bodies = new Set(replies.map(reply => reply.kind === 'answer' ? `${reply.status} ${reply.body}` : reply.message))
  assert.equal(bodies.size, 1, [...bodies].join('\n'))
  assert.equal(site.executors.flatMap(executor => executor.starts).length, 1)
  const other = await sendRequest(`${site.entries[1]?.callers ?? ''}/quoting/write?ms=50`, { method: 'POST', body: 'crew 8', headers })
  assert.equal(other.kind === 'answer' && other.status, 422)
})
