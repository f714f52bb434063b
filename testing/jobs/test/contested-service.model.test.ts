import assert from 'node:assert/strict'
import { test } from 'node:test'
import { lateReplies, playSome, sameToken, twoLeaders, type Broken } from './contests.ts'

// Played before the first test begins, as promises cost three times as much inside of a test.
const random = { twoLeaders: await playSome(twoLeaders), lateReplies: await playSome(lateReplies), sameToken: await playSome(sameToken) }
const nothing: Broken = { twice: [], waiting: [] }

// A leader that was cut off left tasks waiting.
test('after two entries have led at once, each long-running task for which there is room runs within 7 s', () => {
  assert.deepEqual(random.twoLeaders.waiting, [])
})

// Guards against replies that are taken for those of a later call.
test('late and overtaking messages start no task twice and keep none waiting', () => {
  assert.deepEqual(random.lateReplies, nothing)
})

// Starts of a term that had ended ran beside those of the next one under the same token.
test('no task is started twice when a term follows another one under the same token', () => {
  assert.deepEqual(random.sameToken, nothing)
})
