import assert from 'node:assert/strict'
import { test } from 'node:test'
import { allEnded, delay } from '@wisteriaslip/core.result'

test('the first failure is thrown once all operations have ended, and known to them at once', async () => {
  const abortController = new AbortController()
  const ended: string[] = []
  const slow = async (): Promise<void> => {
    await delay(60_000, abortController.signal)
    await new Promise(resolve => setTimeout(resolve, 20))
    ended.push('slow')
  }
  const failing = async (): Promise<void> => { throw new Error('first') }
  await assert.rejects(allEnded([slow(), failing()], () => abortController.abort()), /first/)
  assert.deepEqual(ended, ['slow'])
})

test('without a failure, all results are returned in order', async () => {
  assert.deepEqual(await allEnded([delay(20, new AbortController().signal).then(() => 1), Promise.resolve(2)]), [1, 2])
})
