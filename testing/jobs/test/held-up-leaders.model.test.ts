import assert from 'node:assert/strict'
import { test } from 'node:test'
import { heldUpLeaders, playSome } from './contests.ts'

// Played before the first test begins, as promises cost three times as much inside of a test.
const broken = await playSome(heldUpLeaders)

// Guards against starts and leases of a leader that acts late, beside those of its successor.
test('no task is started twice while leaders are held up around a change of leader', () => {
  assert.deepEqual(broken.twice, [])
})

// Guards against tasks that wait for what a held-up leader has missed: responses, expiries, its own loss of leadership.
test('after leaders were held up around a change of leader, each long-running task for which there is room runs within 7 s', () => {
  assert.deepEqual(broken.waiting, [])
})

// Guards against crashes that a held-up leader takes for those of a task.
test('no job is given up when leaders are held up and workers crash that none of its tasks has crashed', () => {
  assert.deepEqual(broken.failed, [])
})
