import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Account } from '@wisteriaslip/jobs.model'
import fc from 'fast-check'
import { SchedulerHarness, step, worker } from './harness.ts'

const CAPACITY = { cpu: 100_000, memMb: 1_000_000, accelerators: 0 }
/** No job lies beyond a weight. */
const ARRIVALS_APART_MS = 10_000

interface Sent {
  readonly account: number
  readonly tasks: number
  readonly cpu: number
  readonly gang: boolean
}

/** Plays a pass; returns the accounts and demands of the starts, in order. */
function startAll (weights: readonly number[], sent: readonly Sent[], workers: number): Array<{ account: number, cpu: number, gang: boolean }> {
  const account = (name: string): Account => ({ name, keyDigests: [], weight: weights[Number(name)] as number, quota: { cpu: 0, memMb: 0, accelerators: 0 } })
  const harness = new SchedulerHarness({ queue: { objectiveMs: 9_000_000 }, account })
  harness.now = sent.length * ARRIVALS_APART_MS
  harness.addWorkers(...Array.from({ length: workers }, (_, number) => worker(`w${number}`, { capacity: CAPACITY })))
  for (const [number, { account, tasks, cpu, gang }] of sent.entries()) {
    harness.addJob({ id: `j${number}`, account: String(account), acceptedAt: number * ARRIVALS_APART_MS, steps: [step({ tasks, gang, demand: { cpu, memMb: 1, accelerators: 0 } })] })
  }
  return harness.startReadyTasks().map(({ task: { step: { job, spec } } }) => ({ account: Number(job.job.account), cpu: spec.demand.cpu, gang: spec.gang }))
}

test('each start goes to an account with the lowest level of those that wait, and all is started while there is room', () => {
  const sentJob = fc.record({ account: fc.nat(4), tasks: fc.integer({ min: 1, max: 30 }), cpu: fc.integer({ min: 500, max: 9_000 }), gang: fc.boolean() })
  const weight = fc.double({ min: 0.2, max: 30, noNaN: true })
  fc.assert(fc.property(fc.array(weight, { minLength: 5, maxLength: 5 }), fc.array(sentJob, { minLength: 1, maxLength: 20 }), fc.integer({ min: 1, max: 6 }), (weights, sent, workers) => {
    const room = workers * CAPACITY.cpu
    const left = weights.map((_, account) => sent.filter(each => each.account === account).reduce((sum, each) => sum + each.tasks, 0))
    const total = weights.filter((_, account) => (left[account] as number) > 0).reduce((sum, each) => sum + each, 0)
    const used = weights.map(() => 0)
    const usual = sent.reduce((sum, each) => sum + Math.min(1 / 4, each.tasks * each.cpu / room), 0) / sent.length
    const level = (account: number): number => Math.floor((used[account] as number) / room / Math.max(usual, 0.5 * (weights[account] as number) / total))
    const starts = startAll(weights, sent, workers)
    let free = room
    for (const { account, cpu, gang } of starts) {
      // Beyond this some task may have found no worker, so that its account's turn has passed.
      if (free < sent.reduce((sum, each) => sum + (each.gang ? each.tasks * each.cpu : 0), workers * 9_000)) break
      const least = Math.min(...left.flatMap((count, other) => count > 0 ? [level(other)] : []))
      if (!gang) assert.equal(level(account), least, `${account} with ${JSON.stringify(used)}`)
      used[account] = (used[account] as number) + cpu
      left[account] = (left[account] as number) - 1
      free -= cpu
    }
    const demand = sent.reduce((sum, each) => sum + each.tasks * each.cpu, 0)
    if (demand <= room - workers * 9_000) assert.equal(starts.length, sent.reduce((sum, each) => sum + each.tasks, 0))
  }))
})
