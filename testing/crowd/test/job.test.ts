import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { bounds, crowds, singleTinyChunkBody, startJobInterface, withstand, type CrowdTarget } from '../src/index.ts'

const LARGE_BODY_BYTES = 250_000

async function start (t: TestContext): Promise<CrowdTarget> {
  const target = await startJobInterface()
  t.after(target.close)
  return target
}

const bound = { memoryMb: bounds.memoryMb, fds: bounds.maxFds }

test('job interface: a single body in one-byte chunks inside the limits is served', { timeout: 120_000 }, async t => {
  const target = await start(t)
  assert.equal(await singleTinyChunkBody(target, LARGE_BODY_BYTES), target.status)
})

test('job interface: withstands bodies in one-byte chunks that stop short of their end', { timeout: 120_000 }, async t => {
  const target = await start(t)
  await withstand(target, crowds.tinyChunks(target), bound)
})

test('job interface: withstands large bodies that stop short of their end', { timeout: 120_000 }, async t => {
  const target = await start(t)
  await withstand(target, crowds.largeChunks(target), bound)
})

test('job interface: withstands requests sent ahead whose answers nobody reads', { timeout: 120_000 }, async t => {
  const target = await start(t)
  await withstand(target, crowds.sentAhead(target), bound)
})
