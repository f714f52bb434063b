import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Bench, step, worker } from './harness.ts'

const SMALL = '00000000000000a1'
const LARGE = '00000000000000b1'
const LATE = '00000000000000c1'

function startedFirst (bench: Bench): string | undefined {
  return bench.startAll()[0]?.task.step.job.job.id
}

test('five times the work there is room for: small jobs that can be on time go before large ones', () => {
  const bench = new Bench()
  bench.admit({ id: LARGE, steps: [step({ tasks: 20 })] })
  bench.admit({ id: SMALL, steps: [step({ tasks: 2 })] })
  bench.meet(worker('w1'))
  assert.equal(startedFirst(bench), SMALL)
})

test('a small job that cannot be on time any more yields to a large one that can', () => {
  const bench = new Bench()
  bench.admit({ id: LATE, steps: [step()] })
  bench.now += 5_000
  bench.admit({ id: LARGE, steps: [step({ tasks: 20 })] })
  bench.meet(worker('w1'))
  assert.equal(startedFirst(bench), LARGE)
})

test('lasting work goes first, and of jobs alike the tightest', () => {
  const bench = new Bench()
  bench.admit({ id: SMALL, steps: [step({ tasks: 4 })] })
  bench.now += 300
  bench.admit({ id: LATE, steps: [step({ tasks: 4 })] })
  bench.admit({ id: LARGE, steps: [step({ lasting: true })] })
  bench.meet(worker('w1'))
  assert.deepEqual(bench.startAll().map(run => run.task.step.job.job.id), [LARGE, SMALL, SMALL, SMALL])
})
