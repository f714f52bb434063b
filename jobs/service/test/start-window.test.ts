import assert from 'node:assert/strict'
import { test } from 'node:test'
import { StartWindow } from '../src/start-window.ts'

function recordLags (window: StartWindow, lagMs: number, times: number): void {
  for (let time = 0; time < times; time++) window.recordLag(lagMs)
}

test('a leader that lags by seconds has two starts in flight, and more again as soon as it does not lag', () => {
  const window = new StartWindow()
  recordLags(window, 5, 100)
  assert.equal(window.free(), 256)
  assert.equal(window.isHeldUp(), false)
  window.recordLag(1_000)
  assert.equal(window.free(), 2)
  assert.equal(window.isHeldUp(), true)
  recordLags(window, 5, 10)
  assert.equal(window.isHeldUp(), true)
  recordLags(window, 5, 10)
  assert.equal(window.isHeldUp(), false)
  assert.ok(window.free() >= 64)
})

test('starts in flight count against the window until they are answered, also when it shrinks', () => {
  const window = new StartWindow()
  for (let start = 0; start < 6; start++) window.recordSent()
  assert.equal(window.free(), 2)
  window.recordLag(1_000)
  assert.equal(window.free(), 0)
  for (let start = 0; start < 5; start++) window.recordSettled()
  assert.equal(window.free(), 1)
})
