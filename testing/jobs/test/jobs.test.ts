import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Step } from '@wisteriaslip/jobs.model'
import { JobSite, plainStep, waitUntil, type SeenRun } from '@wisteriaslip/testing.jobs'

const ID = '00000000000000aa'

function step (overrides: Partial<Step> = {}): Step {
  return plainStep({ estimateMs: 30, ...overrides })
}

async function withSite (run: (site: JobSite) => Promise<void>): Promise<void> {
  const site = new JobSite()
  try {
    site.addWorkers('w1', 'w2', 'w3')
    await run(site)
  } finally {
    await site.close()
  }
}

async function untilState (site: JobSite, id: string, state: string): Promise<void> {
  await waitUntil(`${id} is ${state}`, async () => await site.intake.state(site.queue, id) === state)
}

/** No task runs twice at once, none after an end that counts, and no step before those that it follows. */
function assertOnce (runs: readonly SeenRun[]): void {
  for (const run of runs) {
    for (const other of runs) {
      if (run === other || run.task !== other.task) continue
      assert.ok(run.begunAt >= (other.endedAt ?? Infinity) || other.begunAt >= (run.endedAt ?? Infinity), `${run.task} ran twice at once`)
      if (run.how === 'done') assert.ok(other.begunAt < (run.endedAt ?? Infinity), `${run.task} ran after it was done`)
    }
  }
}

function runsOf (site: JobSite, task: string): SeenRun[] {
  return site.workers.seen.filter(run => run.task === task)
}

test('a job is accepted, runs step by step and is completed; a repeat of its id is the same job', async () => {
  await withSite(async site => {
    await site.elect()
    const req = site.request(ID, [step({ tasks: 5 }), step({ tasks: 2, after: [0] })])
    assert.deepEqual(await site.intake.submit(req), { kind: 'accepted' })
    assert.deepEqual(await site.intake.submit(req), { kind: 'accepted' })
    await untilState(site, ID, 'completed')
    assert.deepEqual(await site.intake.submit(req), { kind: 'accepted' })
    assert.equal(site.workers.seen.length, 7)
    assertOnce(site.workers.seen)
    const firstDone = Math.max(...site.workers.seen.filter(run => run.task.startsWith(`${ID}.0.0.`)).map(run => run.endedAt ?? Infinity))
    for (const run of site.workers.seen.filter(run => run.task.startsWith(`${ID}.0.1.`))) assert.ok(run.begunAt >= firstDone)
  })
})

test('a cancelled job is stopped and never starts again', async () => {
  await withSite(async site => {
    await site.elect()
    site.plan = () => ({ ms: 600_000 })
    await site.intake.submit(site.request(ID, [step({ tasks: 2 }), step({ after: [0] })]))
    await waitUntil('both run', () => site.workers.seen.length === 2)
    assert.equal(await site.intake.cancel(site.queue, ID), 'cancelled')
    await waitUntil('both are stopped', () => site.workers.seen.every(run => run.how === 'stopped'))
    assert.equal(await site.intake.state(site.queue, ID), 'cancelled')
    assert.equal(await site.intake.cancel(site.queue, '00000000000000bb'), 'none')
    assert.equal(site.workers.seen.length, 2)
  })
})

test('a gang starts with all its members and one attempt', async () => {
  await withSite(async site => {
    await site.elect()
    site.plan = () => ({ members: 5 })
    await site.intake.submit(site.request(ID, [step({ tasks: 5, gang: true })]))
    await untilState(site, ID, 'completed')
    assert.equal(site.workers.seen.length, 5)
    assert.equal(new Set(site.workers.seen.map(run => run.attempt)).size, 1)
    assertOnce(site.workers.seen)
  })
})

test('occurrences of a schedule start when they are due, and all of them run', async () => {
  await withSite(async site => {
    await site.elect()
    const firstMs = Date.now() + 100
    const startedAt = performance.now()
    await site.intake.submit(site.request(ID, [step()], { schedule: { times: 3, firstMs, everyMs: 150 } }))
    const dueIn = firstMs - Date.now() + performance.now() - startedAt
    await untilState(site, ID, 'completed')
    assert.deepEqual(site.workers.seen.map(run => run.task), [0, 1, 2].map(number => `${ID}.${number}.0.0`))
    for (const [number, run] of site.workers.seen.entries()) assert.ok(run.begunAt - startedAt >= dueIn + number * 150 - 20, `occurrence ${number} began early`)
  })
})

test('a lasting task is started again however it ends, until its job is cancelled', async () => {
  await withSite(async site => {
    await site.elect()
    const ends = ['done', 'failed', 'failed', 'failed', 'done'] as const
    site.plan = () => ({ ms: 20, how: ends[site.workers.seen.length % ends.length] ?? 'done' })
    await site.intake.submit(site.request(ID, [step({ lasting: true, mayMiss: 1 })]))
    await waitUntil('six runs', () => site.workers.seen.length >= 6)
    assert.equal(await site.intake.state(site.queue, ID), 'running')
    assert.equal(await site.intake.cancel(site.queue, ID), 'cancelled')
    await waitUntil('nothing runs', () => site.workers.seen.every(run => run.how !== undefined))
    for (const [number, run] of site.workers.seen.entries()) assert.ok(number === 0 || run.begunAt >= (site.workers.seen[number - 1]?.endedAt ?? Infinity))
  })
})

test('a job fails when a task has failed as often as its queue allows', async () => {
  await withSite(async site => {
    await site.elect()
    site.plan = () => ({ how: 'failed' })
    await site.intake.submit(site.request(ID, [step()]))
    await untilState(site, ID, 'failed')
    assert.equal(site.workers.seen.length, site.queue.attempts)
  })
})

test('a hand-in whose answer the store lost is accepted', async () => {
  await withSite(async site => {
    await site.elect()
    site.handInFaults.push('lose-reply')
    assert.deepEqual(await site.intake.submit(site.request(ID, [step()])), { kind: 'accepted' })
    await untilState(site, ID, 'completed')
    assert.equal(site.workers.seen.length, 1)
  })
})

test('a hand-in of which nobody knows is never said not to run: it is unknown, and found again by its id', async () => {
  await withSite(async site => {
    await site.elect()
    site.handInFaults.push('lose-reply', 'lose-call', 'lose-call', 'lose-call')
    const req = site.request(ID, [step()])
    assert.deepEqual(await site.intake.submit(req), { kind: 'unknown' })
    await waitUntil('it runs all the same', () => site.workers.seen.length === 1)
    await waitUntil('a repeat is told', async () => (await site.intake.submit(req)).kind === 'accepted')
    await untilState(site, ID, 'completed')
    assert.equal(site.workers.seen.length, 1)
  })
})

test('a job whose first write may still take effect is not said to never run', async () => {
  await withSite(async site => {
    await site.elect()
    const req = site.request(ID, [step()])
    for (let tries = 0; tries < 40; tries++) site.handInFaults.push('lose-call')
    assert.deepEqual(await site.intake.submit(req), { kind: 'unknown' })
    for (let number = 0; (await site.intake.submit(site.request(`00000000000002${String(number).padStart(2, '0')}`, [step()]))).kind !== 'refused'; number++) assert.ok(number < 40, 'the breaker opens')
    assert.deepEqual(await site.intake.submit(req), { kind: 'unknown' })
  })
})

test('a job that was refused because the store is away never runs', async () => {
  await withSite(async site => {
    await site.elect()
    for (let tries = 0; tries < 40; tries++) site.handInFaults.push('lose-call')
    let refused: string | undefined
    for (let number = 0; refused === undefined && number < 40; number++) {
      const id = `00000000000001${String(number).padStart(2, '0')}`
      if ((await site.intake.submit(site.request(id, [step()]))).kind === 'refused') refused = id
    }
    assert.notEqual(refused, undefined, 'the breaker opens')
    site.handInFaults.length = 0
    await waitUntil('the store is used again', async () => (await site.intake.submit(site.request(ID, [step()]))).kind === 'accepted')
    await untilState(site, ID, 'completed')
    assert.deepEqual(site.workers.seen.filter(run => run.task.startsWith(refused ?? '')), [])
  })
})

for (const fault of ['lose-order', 'lose-answer', 'late'] as const) {
  test(`a start (${fault}) runs its task once`, async () => {
    await withSite(async site => {
      await site.elect()
      site.workers.startFaults.push(fault, fault)
      await site.intake.submit(site.request(ID, [step({ tasks: 3 }), step({ after: [0] })]))
      await untilState(site, ID, 'completed')
      assertOnce(site.workers.seen)
      assert.equal(site.workers.seen.filter(run => run.how === 'done').length, 4)
    })
  })
}

test('a new leader goes on with what the planned one left', async () => {
  await withSite(async site => {
    const first = await site.elect()
    site.plan = () => ({ ms: 200 })
    await site.intake.submit(site.request(ID, [step({ tasks: 3 }), step({ tasks: 3, after: [0] })]))
    await waitUntil('the first step runs', () => site.workers.seen.length === 3)
    await first.resign()
    await site.elect()
    await untilState(site, ID, 'completed')
    assert.equal(site.workers.seen.length, 6)
    assertOnce(site.workers.seen)
  })
})

test('a leader that is cut off and does not know it does no harm, and its jobs go on', async () => {
  await withSite(async site => {
    const first = await site.elect()
    site.plan = () => ({ ms: 150 })
    await site.intake.submit(site.request(ID, [step({ tasks: 4 }), step({ tasks: 4, after: [0] })]))
    await waitUntil('the first step runs', () => site.workers.seen.length === 4)
    first.cut()
    await site.elect()
    await untilState(site, ID, 'completed')
    assertOnce(site.workers.seen)
    assert.equal(site.workers.seen.filter(run => run.how === 'done').length, 8)
  })
})

test('a new leader does not wait for a worker whose VM was switched off', async () => {
  await withSite(async site => {
    const first = await site.elect()
    site.plan = () => ({ ms: 100 })
    await site.intake.submit(site.request(ID, [step({ tasks: 9 }), step({ after: [0] })]))
    await waitUntil('all workers are in use', () => new Set(site.workers.seen.map(run => run.worker)).size === 3)
    first.cut()
    site.switchOff('w1')
    await site.elect()
    await untilState(site, ID, 'completed')
    assertOnce(site.workers.seen)
    assert.ok(runsOf(site, `${ID}.0.1.0`).length === 1)
  })
})
