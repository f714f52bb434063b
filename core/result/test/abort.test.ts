import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { withTimeout } from '@wisteriaslip/core.result'

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
