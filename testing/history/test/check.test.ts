import assert from 'node:assert/strict'
import { test } from 'node:test'
import { checkHistory, type Attempt, type History } from '@wisteriaslip/testing.history'

const responseBody = JSON.stringify({ op: 'a', echo: 'body' })
const attempt: Attempt = { op: 'a', key: undefined, idempotent: false, requestBody: 'body', entry: 'e1', reply: { kind: 'answer', status: 200, outcome: undefined, body: responseBody } }
const start = { op: 'a', requestId: 'r1', target: 't1' }
const validHistory: History = { attempts: [attempt], starts: [start], faultyEntries: new Set() }

function attemptWithReply (outcome: string | undefined, body: string, status = 503): Attempt {
  return { ...attempt, reply: { kind: 'answer', status, outcome, body } }
}

function violatedRules (history: Partial<History>): string[] {
  return checkHistory({ ...validHistory, ...history }).map(violation => violation.rule)
}

test('reports nothing for a history without violations', () => {
  assert.deepEqual(violatedRules({}), [])
})

test('reports a second start of a request that is not idempotent', () => {
  assert.deepEqual(violatedRules({ starts: [start, { ...start, target: 't2' }] }), ['ran-twice'])
})

test('reports a not-run response to a request that was started', () => {
  const body = JSON.stringify({ requestId: 'r1' })
  assert.deepEqual(violatedRules({ attempts: [attemptWithReply('not-run', body)] }), ['not-run-untrue'])
})

test('reports a truncated response', () => {
  assert.deepEqual(violatedRules({ attempts: [attemptWithReply(undefined, responseBody.slice(0, 10), 200)] }), ['wrong-answer'])
})

test('reports a response that belongs to another caller', () => {
  assert.deepEqual(violatedRules({ attempts: [attemptWithReply(undefined, JSON.stringify({ op: 'b', echo: 'body' }), 200)] }), ['wrong-answer'])
})

test('reports a request without a response unless its entry was faulty', () => {
  const lost: Attempt = { ...attempt, reply: { kind: 'no-answer', message: 'reset' } }
  assert.deepEqual(violatedRules({ attempts: [lost] }), ['lost'])
  assert.deepEqual(violatedRules({ attempts: [lost], faultyEntries: new Set(['e1']) }), [])
})

test('reports different responses for one idempotency key', () => {
  const keyed = { ...attempt, key: 'k' }
  const other = JSON.stringify({ op: 'a', echo: 'body', target: 't2' })
  assert.deepEqual(violatedRules({ attempts: [keyed, { ...keyed, reply: { kind: 'answer', status: 200, outcome: undefined, body: other } }] }), ['key-answers-differ'])
})

test('reports a response to a request that no executor started', () => {
  assert.deepEqual(violatedRules({ starts: [] }), ['answer-without-run'])
})
