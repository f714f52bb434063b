import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Step } from '@wisteriaslip/jobs.model'
import { JobSite, plainStep, untilState, waitUntil, withSite, type RecordedRun } from '@wisteriaslip/testing.jobs'

const ID = '00000000000000aa'

function step (overrides: Partial<Step> = {}): Step {
  return plainStep({ estimateMs: 30, ...overrides })
}

/** Asserts that no task has two concurrent runs and that none starts after a run of it is done. */
function assertNoDuplicateRuns (runs: readonly RecordedRun[]): void {
  for (const run of runs) {
    for (const other of runs) {
      if (run === other || run.task !== other.task) continue
      assert.ok(run.startedAt >= (other.endedAt ?? Infinity) || other.startedAt >= (run.endedAt ?? Infinity), `${run.task} ran twice at once`)
      if (run.how === 'done') assert.ok(other.startedAt < (run.endedAt ?? Infinity), `${run.task} ran after it was done`)
    }
  }
}

function runsOf (site: JobSite, task: string): RecordedRun[] {
  return site.workers.recordedRuns.filter(run => run.task === task)
}

test('a job is accepted, runs step by step and completes; submitting its id again is idempotent', async () => {
  await withSite(async site => {
    await site.elect()
    const req = site.request(ID, [step({ tasks: 5 }), step({ tasks: 2, after: [0] })])
    assert.deepEqual(await site.intake.submit(req), { kind: 'accepted' })
    assert.deepEqual(await site.intake.submit(req), { kind: 'accepted' })
    await untilState(site, ID, 'completed')
    assert.deepEqual(await site.intake.submit(req), { kind: 'accepted' })
    assert.equal(site.workers.recordedRuns.length, 7)
    assertNoDuplicateRuns(site.workers.recordedRuns)
    const firstDone = Math.max(...site.workers.recordedRuns.filter(run => run.task.startsWith(`${ID}.0.0.`)).map(run => run.endedAt ?? Infinity))
    for (const run of site.workers.recordedRuns.filter(run => run.task.startsWith(`${ID}.0.1.`))) assert.ok(run.startedAt >= firstDone)
  })
})

test('the runs of a cancelled job are stopped, and none starts afterwards', async () => {
  await withSite(async site => {
    await site.elect()
    site.plan = () => ({ runMs: 600_000 })
    await site.intake.submit(site.request(ID, [step({ tasks: 2 }), step({ after: [0] })]))
    await waitUntil('both run', () => site.workers.recordedRuns.length === 2)
    assert.equal(await site.intake.cancel(site.queue, ID), 'cancelled')
    await waitUntil('both are stopped', () => site.workers.recordedRuns.every(run => run.how === 'stopped'))
    assert.equal(await site.intake.state(site.queue, ID), 'cancelled')
    assert.equal(await site.intake.cancel(site.queue, '00000000000000bb'), 'none')
    assert.equal(site.workers.recordedRuns.length, 2)
  })
})

test('all members of a gang start, in one attempt', async () => {
  await withSite(async site => {
    await site.elect()
    site.plan = () => ({ members: 5 })
    await site.intake.submit(site.request(ID, [step({ tasks: 5, gang: true })]))
    await untilState(site, ID, 'completed')
    assert.equal(site.workers.recordedRuns.length, 5)
    assert.equal(new Set(site.workers.recordedRuns.map(run => run.attempt)).size, 1)
    assertNoDuplicateRuns(site.workers.recordedRuns)
  })
})

test('all occurrences of a schedule run, and none starts before it is due', async () => {
  await withSite(async site => {
    await site.elect()
    const firstMs = Date.now() + 100
    const startedAt = performance.now()
    await site.intake.submit(site.request(ID, [step()], { schedule: { times: 3, firstMs, everyMs: 150 } }))
    const dueIn = firstMs - Date.now() + performance.now() - startedAt
    await untilState(site, ID, 'completed')
    assert.deepEqual(site.workers.recordedRuns.map(run => run.task), [0, 1, 2].map(number => `${ID}.${number}.0.0`))
    for (const [number, run] of site.workers.recordedRuns.entries()) assert.ok(run.startedAt - startedAt >= dueIn + number * 150 - 20, `occurrence ${number} started early`)
  })
})

test('a long-running task is restarted whatever its outcome, until its job is cancelled', async () => {
  await withSite(async site => {
    await site.elect()
    const outcomes = ['done', 'failed', 'failed', 'failed', 'done'] as const
    site.plan = () => ({ runMs: 20, how: outcomes[site.workers.recordedRuns.length % outcomes.length] ?? 'done' })
    await site.intake.submit(site.request(ID, [step({ lasting: true, mayMiss: 1 })]))
    await waitUntil('six runs', () => site.workers.recordedRuns.length >= 6)
    assert.equal(await site.intake.state(site.queue, ID), 'running')
    assert.equal(await site.intake.cancel(site.queue, ID), 'cancelled')
    await waitUntil('nothing runs', () => site.workers.recordedRuns.every(run => run.how !== undefined))
    for (const [number, run] of site.workers.recordedRuns.entries()) assert.ok(number === 0 || run.startedAt >= (site.workers.recordedRuns[number - 1]?.endedAt ?? Infinity))
  })
})

test('a job fails when a task has used all attempts that its queue allows', async () => {
  await withSite(async site => {
    await site.elect()
    site.plan = () => ({ how: 'failed' })
    await site.intake.submit(site.request(ID, [step()]))
    await untilState(site, ID, 'failed')
    assert.equal(site.workers.recordedRuns.length, site.queue.attempts)
  })
})

test('a submission is accepted although the store\'s reply to its write is lost', async () => {
  await withSite(async site => {
    await site.elect()
    site.submitFaults.push('lose-reply')
    assert.deepEqual(await site.intake.submit(site.request(ID, [step()])), { kind: 'accepted' })
    await untilState(site, ID, 'completed')
    assert.equal(site.workers.recordedRuns.length, 1)
  })
})

test('a submission whose outcome cannot be determined is reported as unknown, and a retry with its id finds it', async () => {
  await withSite(async site => {
    await site.elect()
    site.submitFaults.push('lose-reply', 'lose-call', 'lose-call', 'lose-call')
    const req = site.request(ID, [step()])
    assert.deepEqual(await site.intake.submit(req), { kind: 'unknown' })
    await waitUntil('the job runs nevertheless', () => site.workers.recordedRuns.length === 1)
    await waitUntil('a retry is accepted', async () => (await site.intake.submit(req)).kind === 'accepted')
    await untilState(site, ID, 'completed')
    assert.equal(site.workers.recordedRuns.length, 1)
  })
})

// A cancellation was answered with "no such job", and the job was stored afterwards and ran.
test('a job whose write takes effect after its cancellation does not run', async () => {
  await withSite(async site => {
    await site.elect()
    site.submitFaults.push('lose-call', 'lose-call', 'lose-call', 'lose-call')
    const req = site.request(ID, [step()])
    assert.deepEqual(await site.intake.submit(req), { kind: 'unknown' })
    await waitUntil('the cancellation is stored', async () => await site.intake.cancel(site.queue, ID) === 'cancelled')
    site.submitFaults.length = 0
    assert.equal((await site.intake.submit(req)).kind, 'refused')
    assert.equal(await site.intake.state(site.queue, ID), 'none')
    assert.equal(site.workers.recordedRuns.length, 0)
  })
})

test('a job whose first write may still take effect is not refused', async () => {
  await withSite(async site => {
    await site.elect()
    const req = site.request(ID, [step()])
    for (let tries = 0; tries < 40; tries++) site.submitFaults.push('lose-call')
    assert.deepEqual(await site.intake.submit(req), { kind: 'unknown' })
    for (let number = 0; (await site.intake.submit(site.request(`00000000000002${String(number).padStart(2, '0')}`, [step()]))).kind !== 'refused'; number++) assert.ok(number < 40, 'the breaker opens')
    assert.deepEqual(await site.intake.submit(req), { kind: 'unknown' })
  })
})

test('a job that was refused because the store is unavailable never runs', async () => {
  await withSite(async site => {
    await site.elect()
    for (let tries = 0; tries < 40; tries++) site.submitFaults.push('lose-call')
    let refused: string | undefined
    for (let number = 0; refused === undefined && number < 40; number++) {
      const id = `00000000000001${String(number).padStart(2, '0')}`
      if ((await site.intake.submit(site.request(id, [step()]))).kind === 'refused') refused = id
    }
    assert.notEqual(refused, undefined, 'the breaker opens')
    site.submitFaults.length = 0
    await waitUntil('the breaker has closed', async () => (await site.intake.submit(site.request(ID, [step()]))).kind === 'accepted')
    await untilState(site, ID, 'completed')
    assert.deepEqual(site.workers.recordedRuns.filter(run => run.task.startsWith(refused ?? '')), [])
  })
})

for (const fault of ['lose-command', 'lose-response', 'late'] as const) {
  test(`a start with fault ${fault} runs its task once`, async () => {
    await withSite(async site => {
      await site.elect()
      site.workers.startFaults.push(fault, fault)
      await site.intake.submit(site.request(ID, [step({ tasks: 3 }), step({ after: [0] })]))
      await untilState(site, ID, 'completed')
      assertNoDuplicateRuns(site.workers.recordedRuns)
      assert.equal(site.workers.recordedRuns.filter(run => run.how === 'done').length, 4)
    })
  })
}

test('a new leader continues the jobs of one that released leadership', async () => {
  await withSite(async site => {
    const first = await site.elect()
    site.plan = () => ({ runMs: 200 })
    await site.intake.submit(site.request(ID, [step({ tasks: 3 }), step({ tasks: 3, after: [0] })]))
    await waitUntil('the first step runs', () => site.workers.recordedRuns.length === 3)
    await first.releaseLeadership()
    await site.elect()
    await untilState(site, ID, 'completed')
    assert.equal(site.workers.recordedRuns.length, 6)
    assertNoDuplicateRuns(site.workers.recordedRuns)
  })
})

test('a disconnected leader that is not aware of it causes no duplicate runs, and its jobs complete', async () => {
  await withSite(async site => {
    const first = await site.elect()
    site.plan = () => ({ runMs: 150 })
    await site.intake.submit(site.request(ID, [step({ tasks: 4 }), step({ tasks: 4, after: [0] })]))
    await waitUntil('the first step runs', () => site.workers.recordedRuns.length === 4)
    first.disconnect()
    await site.elect()
    await untilState(site, ID, 'completed')
    assertNoDuplicateRuns(site.workers.recordedRuns)
    assert.equal(site.workers.recordedRuns.filter(run => run.how === 'done').length, 8)
  })
})

test('a new leader does not wait for a worker whose VM was powered off', async () => {
  await withSite(async site => {
    const first = await site.elect()
    site.plan = () => ({ runMs: 100 })
    await site.intake.submit(site.request(ID, [step({ tasks: 9 }), step({ after: [0] })]))
    await waitUntil('all workers are in use', () => new Set(site.workers.recordedRuns.map(run => run.worker)).size === 3)
    first.disconnect()
    site.powerOff('w1')
    await site.elect()
    await untilState(site, ID, 'completed')
    assertNoDuplicateRuns(site.workers.recordedRuns)
    assert.ok(runsOf(site, `${ID}.0.1.0`).length === 1)
  })
})

// Guards against LOST: a task whose start got no response from a crashed worker was kept for twice the longest lease.
test('a task whose start got no response from a crashed worker runs once the VM has another worker', async () => {
  const site = new JobSite()
  try {
    site.addWorkers('w1')
    await site.elect()
    await waitUntil('the leader knows the worker', () => site.logged.includes('first response from worker in this term'))
    site.workers.startFaults.push('lose-command')
    await site.intake.submit(site.request(ID, [step({ lasting: true })]))
    await waitUntil('the start is sent', () => site.workers.startFaults.length === 0)
    site.powerOff('w1')
    await waitUntil('the worker is lost', () => site.logged.some(message => message.startsWith('worker lost')))
    assert.deepEqual(site.workers.recordedRuns, [])
    site.replace('w1', 'w2')
    await waitUntil('the task runs', () => site.workers.recordedRuns.some(run => run.worker === 'w2'))
  } finally {
    await site.close()
  }
})
