import assert from 'node:assert/strict'
import { test } from 'node:test'
import { DayPlayer } from '../src/day-player.ts'
import type { Day } from '../src/index.ts'
import { Simulation } from '../src/simulation.ts'
import { jobId } from '../src/site-jobs.ts'

// A wave over both VMs of a service whose five long-running tasks fill all but one place: none of the drains can end.
test('long-running tasks do not move to and fro while drains that cannot end take turns', async () => {
  const lasting = jobId({ service: 'alpha', tasks: 5, cpu: 2_400, runMs: Infinity }, 1)
  const day: Day = {
    seed: 1,
    entries: 3,
    pools: [{ name: 'alpha', vms: 2 }, { name: 'beta', vms: 2 }, { name: 'spare', vms: 0, standby: true }],
    events: [
      { kind: 'submit', atMs: 1_500, jobs: [lasting, jobId({ service: 'beta', tasks: 2, cpu: 5_500, runMs: Infinity }, 2)] },
      { kind: 'wave', atMs: 6_000, vms: [0, 1], durationMs: 15_000, cap: 1 }
    ],
    endMs: 126_000
  }
  const site = new Simulation(day)
  try {
    new DayPlayer(site).schedule(day)
    await site.process.run(day.endMs)
    const runs = Array.from({ length: 5 }, (_, task) => site.fleet.history.runsOf(`${lasting}.0.0.${task}`)).flat()
    assert.ok(runs.length <= 5 + 4, `${runs.length} runs of 5 tasks in two minutes:\n${runs.join('\n')}`)
  } finally {
    site.close()
  }
})
