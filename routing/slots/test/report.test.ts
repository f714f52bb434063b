import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ReportBudget, ReportSchedule } from '@wisteriaslip/routing.slots'
import { ManualClock } from '@wisteriaslip/testing.stand-ins'

const MAX_CONTROL_BYTES_PER_SECOND = 28_000
const CHANGED = { nudged: false, hasUrgentChange: true }
const UNCHANGED = { nudged: false, hasUrgentChange: false }

test('reports stay within the bandwidth for control traffic when pools are constantly short of slots', () => {
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
  assert.ok(sent / seconds < MAX_CONTROL_BYTES_PER_SECOND, String(sent / seconds))
})

test('an entry reports once per renew interval without changes, and after the minimum interval with changes', () => {
  const schedule = new ReportSchedule()
  schedule.markSent(0)
  assert.equal(schedule.isDue(50, () => CHANGED), false)
  assert.equal(schedule.isDue(150, () => CHANGED), true)
  assert.equal(schedule.isDue(2_900, () => UNCHANGED), false)
  assert.equal(schedule.isDue(3_000, () => UNCHANGED), true)
})
