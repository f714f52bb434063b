import assert from 'node:assert/strict'
import { test } from 'node:test'
import { DueAccounts } from '../src/due-accounts.ts'
import { nothing } from '../src/resources.ts'

const all = () => ['a', 'b', 'c']

function create () {
  const due = new DueAccounts(250)
  const states = new Map(all().map(account => [account, { revision: 1, use: nothing }]))
  const state = (account: string) => states.get(account) ?? { revision: 0, use: nothing }
  return { due, states, state, take: (now: number) => due.take(all, now, state) }
}

test('all accounts are looked at in intervals, and only marked ones in between', () => {
  const { due, take } = create()
  assert.deepEqual(take(0), all())
  assert.deepEqual(take(30), [])
  due.mark('b')
  assert.deepEqual(take(60), ['b'])
  assert.deepEqual(take(250), all())
})

test('an account that is refused again is looked at only if its record or its use has changed', () => {
  const { due, states, state, take } = create()
  take(0)
  for (const change of [{ revision: 2, use: nothing }, { revision: 2, use: { ...nothing, cpu: 1 } }]) {
    due.noteLook('a', { isDue: false, isWaiting: true, state: state('a') })
    due.mark('a')
    assert.deepEqual(take(30), [])
    states.set('a', change)
    assert.deepEqual(take(60), ['a'])
  }
})

test('new demand is looked at at once, and a change that is due until it is written', () => {
  const { due, state, take } = create()
  take(0)
  due.noteLook('a', { isDue: false, isWaiting: false, state: state('a') })
  due.mark('a')
  assert.deepEqual(take(30), ['a'])
  due.noteLook('a', { isDue: true, isWaiting: true, state: state('a') })
  assert.deepEqual(take(60), ['a'])
})
