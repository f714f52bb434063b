import assert from 'node:assert/strict'
import { test } from 'node:test'
import { checkHistory, type Attempt, type History } from '@wisteriaslip/testing.history'

const answer = JSON.stringify({ op: 'a', echo: 'body' })
const attempt: Attempt = { op: 'a', key: undefined, idempotent: false, sent: 'body', entry: 'e1', reply: { kind: 'answer', status: 200, outcome: undefined, body: answer } }
const start = { op: 'a', requestId: 'r1', target: 't1' }
const good: History = { attempts: [attempt], starts: [start], faultyEntries: new Set() }

function replied (outcome: string | undefined, body: string, status = 503): Attempt {
  return { ...attempt, reply: { kind: 'answer', status, outcome, body } }
}

function rules (history: Partial<History>): string[] {
  return checkHistory({ ...good, ...history }).map(violation => violation.rule)
}

test('a good history passes', () => {
  assert.deepEqual(rules({}), [])
})

test('a second start is caught', () => {
  assert.deepEqual(rules({ starts: [start, { ...start, target: 't2' }] }), ['ran-twice'])
})

test('an untrue not-run is caught', () => {
  const body = JSON.stringify({ requestId: 'r1' })
  assert.deepEqual(rules({ attempts: [replied('not-run', body)] }), ['not-run-untrue'])
})

test('a cut answer is caught', () => {
  assert.deepEqual(rules({ attempts: [replied(undefined, answer.slice(0, 10), 200)] }), ['wrong-answer'])
})

test('another caller\'s answer is caught', () => {
  assert.deepEqual(rules({ attempts: [replied(undefined, JSON.stringify({ op: 'b', echo: 'body' }), 200)] }), ['wrong-answer'])
})

test('a lost request is caught unless its entry failed', () => {
  const lost: Attempt = { ...attempt, reply: { kind: 'no-answer', message: 'reset' } }
  assert.deepEqual(rules({ attempts: [lost] }), ['lost'])
  assert.deepEqual(rules({ attempts: [lost], faultyEntries: new Set(['e1']) }), [])
})

test('different answers for one key are caught', () => {
  const keyed = { ...attempt, key: 'k' }
  const other = JSON.stringify({ op: 'a', echo: 'body', target: 't2' })
  assert.deepEqual(rules({ attempts: [keyed, { ...keyed, reply: { kind: 'answer', status: 200, outcome: undefined, body: other } }] }), ['key-answers-differ'])
})

test('an answer without a run is caught', () => {
  assert.deepEqual(rules({ starts: [] }), ['answer-without-run'])
})
