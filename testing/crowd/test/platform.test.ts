import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { bounds, crowds, singleTinyChunkBody, startPlatformEntry, withstand, type CrowdTarget } from '../src/index.ts'

const LARGE_BODY_BYTES = 250_000

async function start (t: TestContext, maxFds: number = bounds.maxFds): Promise<CrowdTarget> {
  const target = await startPlatformEntry({ memoryMb: bounds.memoryMb, maxFds })
  t.after(target.close)
  return target
}

const bound = { memoryMb: bounds.memoryMb, fds: bounds.maxFds }

test('platform: a single body in one-byte chunks inside the limits is served', { timeout: 120_000 }, async t => {
  const target = await start(t)
  assert.equal(await singleTinyChunkBody(target, LARGE_BODY_BYTES), target.status)
})

test('platform: withstands bodies in one-byte chunks that stop short of their end', { timeout: 120_000 }, async t => {
  const target = await start(t)
  await withstand(target, crowds.tinyChunks(target), bound)
})

test('platform: withstands large bodies that stop short of their end', { timeout: 120_000 }, async t => {
  const target = await start(t)
  await withstand(target, crowds.largeChunks(target), bound)
})

test('platform: withstands requests sent ahead whose answers nobody reads', { timeout: 120_000 }, async t => {
  const target = await start(t)
  await withstand(target, crowds.sentAhead(target), bound)
})

test('platform: withstands requests sent ahead without a Host header', { timeout: 120_000 }, async t => {
  const target = await start(t)
  await withstand(target, crowds.sentAheadWithoutHost(), bound)
})

test('platform: withstands headers that do not end', { timeout: 120_000 }, async t => {
  const target = await start(t, bounds.fewFds)
  await withstand(target, crowds.endlessHeaders(target), { memoryMb: bounds.memoryMb, fds: bounds.fewFds })
})

test('platform: withstands idle connections beyond the limit of descriptors', { timeout: 120_000 }, async t => {
  const target = await start(t, bounds.fewFds)
  await withstand(target, crowds.idle(), { memoryMb: bounds.memoryMb, fds: bounds.fewFds })
})
