import assert from 'node:assert/strict'
import { test } from 'node:test'
import { recordingLogger, type Logger } from '@wisteriaslip/core.logger'
import { seededRandom } from '@wisteriaslip/testing.site'
import { drainKinds, faultKinds, FaultyService, type Fault, type Scenario } from './faulty-service.ts'

const NUM_RUNS = Number(process.env.WISTERIASLIP_RUNS ?? 40)
const SEED = Number(process.env.WISTERIASLIP_SEED ?? 20_261_208)
const CALM_MS = 6_000
const LAST_FAULT_MS = 9_000
const OVERDUE = 'a hold has lasted longer than it may'
/** Faults that may last for longer than a hold: without the store a leader confirms nothing, and without stops a run does not end. */
const LONGEST_FAULT_MS = 3_000

/** Draws a scenario with up to two changes of leader. */
function drawScenario (seed: number): Scenario {
  const random = seededRandom(seed)
  const draw = (below: number): number => Math.floor(random() * below)
  const kinds = [...faultKinds, ...drainKinds]
  const faults = Array.from({ length: 3 + draw(10) }, (): Fault => ({ kind: kinds[draw(kinds.length)] ?? 'dark', atMs: 1_000 + draw(LAST_FAULT_MS - 1_000), forMs: 100 + draw(LONGEST_FAULT_MS), first: draw(8), count: 1 + draw(4) }))
  const changes = Array.from({ length: draw(3) }, (_, number) => ({ atMs: 1_500 + 3_000 * number + draw(3_000), entry: 1 + number % 2, overlapMs: draw(1_200) }))
  return { seed, faults, changes }
}

/** A logger that keeps the lines about holds that have lasted too long. */
function overdueLogger (lines: string[]): Logger {
  const add = (fields: Record<string, unknown>, msg: string): void => { if (msg === OVERDUE) lines.push(JSON.stringify(fields)) }
  const logger: Logger = Object.assign(recordingLogger([]), { info: add, warn: add, child: () => logger })
  return logger
}

// The longest times of holds were read from the code one by one: what follows each other, or is extended, was not looked at as a whole.
test('no hold lasts longer than it may under random faults and changes of leader', async () => {
  for (let number = 0; number < NUM_RUNS; number++) {
    const lines: string[] = []
    const scenario = drawScenario(SEED + number)
    const service = new FaultyService(scenario.seed, overdueLogger(lines))
    try {
      await service.play(scenario, CALM_MS)
    } finally {
      service.close()
    }
    assert.deepEqual(lines, [], `seed ${scenario.seed}: ${JSON.stringify(scenario)}`)
  }
})
