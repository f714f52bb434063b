import assert from 'node:assert/strict'
import { test } from 'node:test'
import { delay } from '@wisteriaslip/core.result'
import type { PermitClient } from '@wisteriaslip/jobs.model'
import { SerialPermitClient } from '@wisteriaslip/jobs.service'

const NEVER_ABORTED = new AbortController().signal
const REQUEST_MS = 60

/** A permit service that notes how many requests it has at a time, and gives none up before its signal aborts. */
function createService () {
  const seen = { atOnce: 0, most: 0, answered: [] as string[] }
  const client: PermitClient = {
    requestPermits: async (step, workers, { signal }) => {
      seen.most = Math.max(seen.most, ++seen.atOnce)
      const isDone = await delay(step === 'stuck' ? 60_000 : REQUEST_MS, signal)
      seen.atOnce -= 1
      if (!isDone) return { ok: false, error: { kind: 'unknown', message: 'aborted' } }
      seen.answered.push(step)
      return { ok: true, value: { permits: new Map(workers.map(id => [id, step])), validMs: 1_000 } }
    }
  }
  return { seen, client: new SerialPermitClient(client) }
}

// The timeouts of all requests ran from the moment when they were made: those at the end of the line were given up, and made again.
test('requests are sent one at a time, and their timeouts start with their turns', async () => {
  const { seen, client } = createService()
  const steps = ['a', 'b', 'c', 'd', 'e']
  const answers = await Promise.all(steps.map(async step => await client.requestPermits(step, ['w'], { timeoutMs: 2 * REQUEST_MS, signal: NEVER_ABORTED })))
  assert.ok(answers.every(({ ok }) => ok))
  assert.deepEqual(seen.answered, steps)
  assert.equal(seen.most, 1)
})

test('a request without an answer is given up in time, and the next one is sent', async () => {
  const { seen, client } = createService()
  const [stuck, next] = await Promise.all(['stuck', 'next'].map(async step => await client.requestPermits(step, ['w'], { timeoutMs: 2 * REQUEST_MS, signal: NEVER_ABORTED })))
  assert.equal(stuck?.ok, false)
  assert.equal(next?.ok, true)
  assert.equal(seen.most, 1)
})

// A term that ends waits for its requests.
test('a request that is aborted before its turn ends at once, is never sent, and lets none overtake', async () => {
  const { seen, client } = createService()
  const term = new AbortController()
  const first = client.requestPermits('first', ['w'], { timeoutMs: 60_000, signal: NEVER_ABORTED })
  const second = client.requestPermits('second', ['w'], { timeoutMs: 60_000, signal: term.signal })
  const third = client.requestPermits('third', ['w'], { timeoutMs: 60_000, signal: NEVER_ABORTED })
  term.abort()
  assert.equal((await second).ok, false)
  assert.deepEqual(seen.answered, [])
  assert.ok((await first).ok && (await third).ok)
  assert.deepEqual(seen.answered, ['first', 'third'])
  assert.equal(seen.most, 1)
})

// A long-running task waited for the requests of all gangs before it, of each service of the entry: ten seconds for one that names 100 workers.
test('an urgent request waits for the one in progress, and not for others that have waited longer', async () => {
  const { seen, client } = createService()
  const send = async (step: string, urgent: boolean) => await client.requestPermits(step, ['w'], { timeoutMs: 2 * REQUEST_MS, urgent, signal: NEVER_ABORTED })
  const requests = [send('gang 1', false), send('gang 2', false), send('gang 3', false), send('lasting', true)]
  assert.ok((await Promise.all(requests)).every(({ ok }) => ok))
  assert.deepEqual(seen.answered, ['gang 1', 'lasting', 'gang 2', 'gang 3'])
  assert.equal(seen.most, 1)
})

test('however many urgent requests there are, each second turn is that of another one that waits', async () => {
  const { seen, client } = createService()
  const send = async (step: string, urgent: boolean) => await client.requestPermits(step, ['w'], { timeoutMs: 2 * REQUEST_MS, urgent, signal: NEVER_ABORTED })
  const requests = [send('a', false), send('b', false), send('c', false), ...['x', 'y', 'z'].map(async step => await send(step, true))]
  assert.ok((await Promise.all(requests)).every(({ ok }) => ok))
  assert.deepEqual(seen.answered, ['a', 'x', 'b', 'y', 'c', 'z'])
})
