import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ReportBudget, ReportSchedule } from '@wisteriaslip/routing.slots'
import { ManualClock } from '@wisteriaslip/testing.stand-ins'

const TARGET_BYTES_PER_SECOND = 28_000
const NEWS = { nudged: false, constraintViolated: true }
const NO_NEWS = { nudged: false, constraintViolated: false }

test('reports stay within the bytes for control, whatever lacks slots', () => {
  const clock = new ManualClock()
  const budget = new ReportBudget(clock)
  const seconds = 60
  let sent = 0
  for (let tick = 0; tick < seconds * 40; tick++) {
    clock.advance(25)
    if (!budget.canSpend()) continue
    budget.spend(9_000)
    sent += 9_000 + 420
  }
  assert.ok(sent / seconds < TARGET_BYTES_PER_SECOND, String(sent / seconds))
})

test('a quiet entry speaks once a period, one with news after a short gap', () => {
  const schedule = new ReportSchedule()
  schedule.markSent(0)
  assert.equal(schedule.isDue(50, () => NEWS), false)
  assert.equal(schedule.isDue(150, () => NEWS), true)
  assert.equal(schedule.isDue(2_900, () => NO_NEWS), false)
  assert.equal(schedule.isDue(3_000, () => NO_NEWS), true)
})
