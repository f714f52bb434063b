import assert from 'node:assert/strict'
import { test } from 'node:test'
import { onAbort, startTimeout, withTimeout } from '@wisteriaslip/core.result'
import { VirtualProcess } from '@wisteriaslip/testing.jobs'

async function withProcess (run: (process: VirtualProcess) => Promise<void>): Promise<void> {
  const process = new VirtualProcess()
  process.install()
  try {
    await run(process)
  } finally {
    process.uninstall()
  }
}

/** Calls something that responds after a time, with a timeout. */
function callWithTimeout (process: VirtualProcess, opts: { responseAfterMs: number, timeoutMs: number }): { outcome: () => string } {
  let outcome = 'waiting'
  withTimeout(opts.timeoutMs, undefined, async signal => await new Promise<void>(resolve => {
    process.outsideAfter(opts.responseAfterMs, () => process.deliver(resolve))
    signal.addEventListener('abort', () => { outcome = 'timed out'; resolve() })
  })).then(() => { if (outcome === 'waiting') outcome = 'answered' }, assert.ifError)
  return { outcome: () => outcome }
}

test('a response that arrived while the process was held up is not timed out', async () => {
  await withProcess(async process => {
    const call = callWithTimeout(process, { responseAfterMs: 300, timeoutMs: 500 })
    process.work(2_000)
    await process.run(2_100)
    assert.equal(call.outcome(), 'answered')
  })
})

test('a call whose request left late gets the time back for which the process was held up, at most once', async () => {
  await withProcess(async process => {
    const answered = callWithTimeout(process, { responseAfterMs: 700, timeoutMs: 500 })
    process.work(650)
    await process.run(1_100)
    assert.equal(answered.outcome(), 'answered')
    const silent = callWithTimeout(process, { responseAfterMs: Infinity, timeoutMs: 500 })
    process.work(3_000)
    await process.run(process.now() + 490)
    assert.equal(silent.outcome(), 'waiting')
    await process.run(process.now() + 20)
    assert.equal(silent.outcome(), 'timed out')
  })
})

test('a timeout fires on time in a process that is not held up, and not once it is cancelled', async () => {
  await withProcess(async process => {
    let fired = 0
    startTimeout(100, () => { fired += 1 })
    startTimeout(100, () => { fired += 10 })()
    await process.run(99)
    assert.equal(fired, 0)
    await process.run(110)
    assert.equal(fired, 1)
  })
})

test('callbacks of a signal are called once on abort, at once if it has aborted, and not after removal', () => {
  const controller = new AbortController()
  const called: string[] = []
  onAbort(controller.signal, () => called.push('first'))
  onAbort(controller.signal, () => called.push('removed'))()
  controller.abort()
  onAbort(controller.signal, () => called.push('late'))
  assert.deepEqual(called, ['first', 'late'])
})
