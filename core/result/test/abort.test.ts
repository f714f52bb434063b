import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { untilAborted, withTimeout } from '@wisteriaslip/core.result'

test('a timeout fires even when the garbage collector runs before it', async () => {
  setFlagsFromString('--expose-gc')
  const collectGarbage = runInNewContext('gc') as () => void
  const operation = withTimeout(50, new AbortController().signal, async signal => await new Promise(resolve => {
    const weak = new WeakRef(signal)
    weak.deref()?.addEventListener('abort', () => resolve('ended'))
  }))
  const gcTimer = setInterval(collectGarbage, 5)
  assert.equal(await operation, 'ended')
  clearInterval(gcTimer)
})

test('a wait until a signal aborts ends with the operation or the signal, and ignores a later failure', async () => {
  const controller = new AbortController()
  assert.equal(await untilAborted(controller.signal, Promise.resolve('done')), 'done')
  let fail = (): void => {}
  const operation = new Promise<never>((_resolve, reject) => { fail = () => reject(new Error('late')) })
  const wait = assert.rejects(untilAborted(controller.signal, operation), { message: 'aborted' })
  controller.abort()
  await wait
  fail()
  await new Promise(resolve => setImmediate(resolve))
})
