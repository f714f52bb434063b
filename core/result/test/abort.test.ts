import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { withTimeout } from '@wisteriaslip/core.result'

test('a time limit fires although the collector ran', async () => {
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as () => void
  const hanging = withTimeout(50, new AbortController().signal, async signal => await new Promise(resolve => {
    const weak = new WeakRef(signal)
    weak.deref()?.addEventListener('abort', () => resolve('ended'))
  }))
  const keepAlive = setInterval(collect, 5)
  assert.equal(await hanging, 'ended')
  clearInterval(keepAlive)
})
