import assert from 'node:assert/strict'
import { test } from 'node:test'
import { silentLogger } from '@wisteriaslip/core.logger'
import { TermRunner, type Term } from '../src/term-runner.ts'

/** Terms that end when they are told to, beside the leaderships that the runner has given up. */
function createRunner () {
  const started: number[] = []
  const givenUp: Array<[string, number]> = []
  let end = (): void => {}
  const createTerm = (_resource: string, token: number): Term => ({
    token,
    run: async signal => {
      started.push(token)
      await new Promise<void>((resolve, reject) => {
        end = () => reject(new Error('injected'))
        signal.addEventListener('abort', () => resolve())
      })
    }
  })
  const runner = new TermRunner(createTerm, { logger: silentLogger, signal: new AbortController().signal, giveUp: async (resource, token) => { givenUp.push([resource, token]) } })
  return { runner, started, givenUp, fail: () => end() }
}

// A term that had failed was followed by another one under the same token, which took tasks that the first had started for its
// own and not begun, and started them again on other workers.
test('a token whose term has failed is not led again: the leadership is given up', async () => {
  const { runner, started, givenUp, fail } = createRunner()
  runner.reconcile(new Map([['s', 5]]))
  fail()
  await runner.ended()
  runner.reconcile(new Map([['s', 5]]))
  assert.deepEqual(started, [5])
  assert.equal(runner.get('s'), undefined)
  assert.deepEqual(givenUp, [['s', 5]])
  runner.reconcile(new Map([['s', 9]]))
  assert.deepEqual(started, [5, 9])
})

// A service whose last queue was removed and added again got a second term under the same token.
test('a token that is held again after its term has ended is not led again', async () => {
  const { runner, started, givenUp } = createRunner()
  runner.reconcile(new Map([['s', 5]]))
  runner.reconcile(new Map())
  await runner.ended()
  runner.reconcile(new Map())
  assert.deepEqual(givenUp, [], 'nothing to give up that is not held')
  runner.reconcile(new Map([['s', 5]]))
  assert.deepEqual(started, [5])
  assert.deepEqual(givenUp, [['s', 5]])
})

test('a leadership is given up again while it is still held, one try at a time', async () => {
  const started: number[] = []
  let tries = 0
  let settle = (): void => {}
  const giveUp = async (): Promise<void> => {
    tries += 1
    await new Promise<void>((_resolve, reject) => { settle = () => reject(new Error('injected')) })
  }
  const runner = new TermRunner((_resource, token) => ({ token, run: async () => { started.push(token) } }), { logger: silentLogger, signal: new AbortController().signal, giveUp })
  const held = new Map([['s', 5]])
  runner.reconcile(held)
  await runner.ended()
  runner.reconcile(held)
  runner.reconcile(held)
  assert.equal(tries, 1)
  settle()
  await new Promise(resolve => setImmediate(resolve))
  runner.reconcile(held)
  assert.equal(tries, 2)
  assert.deepEqual(started, [5])
})
