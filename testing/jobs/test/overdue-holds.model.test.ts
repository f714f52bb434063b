import assert from 'node:assert/strict'
import { test } from 'node:test'
import { recordingLogger, type Logger } from '@wisteriaslip/core.logger'
import type { Hold } from '@wisteriaslip/jobs.scheduler'
import { seededRandom } from '@wisteriaslip/testing.site'
import { drainKinds, faultKinds, FaultyService, type Fault, type Scenario } from './faulty-service.ts'

const NUM_RUNS = Number(process.env.WISTERIASLIP_RUNS ?? 40)
const SEED = Number(process.env.WISTERIASLIP_SEED ?? 20_261_208)
/** Longer than any hold, so that one that faults have begun anew must end. */
const CALM_MS = 9_000
const LAST_FAULT_MS = 9_000
const OVERDUE = 'a hold has lasted longer than it may'
const LISTED = 'long-running tasks are without a run'
/** A worker that restarts, and another task that gets its place, begin this hold of a step anew: it must end in its time after the last fault. */
const BEGUN_ANEW = 'ONLY_WITHDRAWN_ROOM'
const LONGEST_FAULT_MS = 3_000
/** How late the warning comes. */
const GRACE_MS = 1_500

/** Draws a scenario with up to two changes of leader. */
function drawScenario (seed: number): Scenario {
  const random = seededRandom(seed)
  const draw = (below: number): number => Math.floor(random() * below)
  const kinds = [...faultKinds, ...drainKinds]
  const faults = Array.from({ length: 3 + draw(10) }, (): Fault => ({ kind: kinds[draw(kinds.length)] ?? 'dark', atMs: 1_000 + draw(LAST_FAULT_MS - 1_000), forMs: 100 + draw(LONGEST_FAULT_MS), first: draw(8), count: 1 + draw(4) }))
  const changes = Array.from({ length: draw(3) }, (_, number) => ({ atMs: 1_500 + 3_000 * number + draw(3_000), entry: 1 + number % 2, overlapMs: draw(1_200) }))
  return { seed, faults, changes }
}

interface Listed { readonly tasks: ReadonlyArray<{ readonly task: string, readonly holds: readonly Hold[] }> }

/** Returns when the last fault or change of leader is over. */
function calmFrom ({ faults, changes }: Scenario): number {
  return Math.max(...faults.map(({ atMs, forMs }) => atMs + forMs), ...changes.map(({ atMs, overlapMs }) => atMs + overlapMs))
}

/** Returns the tasks of a line that are kept for too long by what faults begin anew. */
function keptInCalm ({ tasks }: Listed, calmMs: number): string[] {
  return tasks.filter(({ holds }) => holds.some(({ code, forMs = 0, endsInMs = Infinity }) => code === BEGUN_ANEW && endsInMs < -GRACE_MS && calmMs > forMs + endsInMs + GRACE_MS)).map(({ task }) => `${task} ${BEGUN_ANEW} after ${calmMs} ms of calm`)
}

/** A logger that keeps what has lasted too long. */
function overdueLogger (lines: string[], calmMs: () => number): Logger {
  const add = (fields: Record<string, unknown>, msg: string): void => {
    if (msg === OVERDUE && fields.code !== BEGUN_ANEW) lines.push(JSON.stringify(fields))
    if (msg === LISTED) lines.push(...keptInCalm(fields as unknown as Listed, calmMs()))
  }
  const logger: Logger = Object.assign(recordingLogger([]), { info: add, warn: add, child: () => logger })
  return logger
}

// The longest times of holds were read from the code one by one: what follows each other, or is extended, was not looked at as a whole.
test('no hold lasts longer than it may under random faults and changes of leader', async () => {
  for (let number = 0; number < NUM_RUNS; number++) {
    const lines: string[] = []
    const scenario = drawScenario(SEED + number)
    const service: FaultyService = new FaultyService(scenario.seed, overdueLogger(lines, () => service.process.now() - calmFrom(scenario)))
    try {
      await service.play(scenario, CALM_MS)
    } finally {
      service.close()
    }
    assert.deepEqual(lines, [], `seed ${scenario.seed}: ${JSON.stringify(scenario)}`)
  }
})
