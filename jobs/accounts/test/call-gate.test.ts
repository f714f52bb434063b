import assert from 'node:assert/strict'
import { test } from 'node:test'
import { pino } from 'pino'
import { Metrics } from '@wisteriaslip/core.metrics'
import { AccountDirectory, CallGate, digestOfKey, summarizeAccounts } from '@wisteriaslip/jobs.accounts'
import type { Account, Queue } from '@wisteriaslip/jobs.model'
import { ManualClock } from '@wisteriaslip/testing.stand-ins'

const quota = { cpu: 0, memMb: 0, accelerators: 0 }
const account = (name: string, ...keys: string[]): Account => ({ name, keyDigests: keys.map(digestOfKey), weight: 1, quota })
const closed = { name: 'q', public: false } as unknown as Queue
const open = { name: 'p', public: true } as unknown as Queue

function createGate (accounts: readonly Account[] | undefined) {
  const lines: string[] = []
  const clock = new ManualClock()
  const metrics = new Metrics()
  const directory = accounts && new AccountDirectory(accounts)
  const gate = new CallGate({ current: () => ({ accounts: directory, version: 4 }), clock, logger: pino({}, { write: (line: string) => { lines.push(line) } }), metrics })
  const admit = (queue: Queue, authorization?: string) => gate.admit(queue, { method: 'GET', path: '/q/1', authorization })
  return { lines, clock, metrics, admit }
}

test('a key names its account, whatever the case of the scheme', () => {
  const { admit } = createGate([account('a', 'ka', 'kb'), account('b', 'kc', 'ka')])
  for (const header of ['Bearer ka', 'bearer kb', 'Bearer   ka']) assert.deepEqual(admit(closed, header), { kind: 'admitted', account: 'a', owner: 'a' })
  assert.deepEqual(admit(closed, 'Bearer kc'), { kind: 'admitted', account: 'b', owner: 'b' })
})

test('keys of other characters than ASCII are known as they are sent', () => {
  const { admit } = createGate([account('a', 'schlüssel')])
  assert.equal(admit(closed, `Bearer ${Buffer.from('schlüssel').toString('latin1')}`).kind, 'admitted')
})

test('calls without a known key are refused, by reason', () => {
  const { admit, metrics } = createGate([account('a', 'ka')])
  for (const header of [undefined, '', 'Bearer', 'Bearer ', 'ka', 'Basic ka']) assert.deepEqual(admit(closed, header), { kind: 'refused', reason: 'no-key' })
  for (const header of ['Bearer k', 'Bearer kaa', 'Bearer KA', 'Bearer ka,kb', `Bearer ${digestOfKey('ka')}`]) assert.deepEqual(admit(closed, header), { kind: 'refused', reason: 'unknown-key' })
  assert.equal(metrics.counter('calls_refused_total', { reason: 'no-key' }), 6)
  assert.equal(metrics.counter('calls_refused_total', { reason: 'unknown-key' }), 5)
})

test('a list without accounts refuses all, none at all refuses nothing', () => {
  assert.equal(createGate([]).admit(closed, 'Bearer ka').kind, 'refused')
  for (const queue of [closed, open]) assert.deepEqual(createGate(undefined).admit(queue, 'Bearer ka'), { kind: 'admitted', account: undefined, owner: undefined })
})

test('calls on a public queue need no key, and see the jobs of all', () => {
  const { admit } = createGate([account('a', 'ka')])
  for (const header of [undefined, 'Bearer kx']) assert.deepEqual(admit(open, header), { kind: 'admitted', account: undefined, owner: undefined })
  assert.deepEqual(admit(open, 'Bearer ka'), { kind: 'admitted', account: 'a', owner: undefined })
})

test('a flood of refused calls is logged as a number, and no line has a key', () => {
  const { admit, lines, clock } = createGate([account('a', 'secret-known')])
  admit(closed, 'Bearer secret-known')
  for (let call = 0; call < 1_000; call++) admit(closed, 'Bearer secret-unknown')
  assert.equal(lines.length, 10)
  assert.match(lines[0] ?? '', new RegExp(`"reason":"unknown-key","keySha256":"${digestOfKey('secret-unknown').slice(0, 12)}".*"configVersion":4`))
  clock.advance(1_000)
  admit(closed)
  assert.match(lines[10] ?? '', /"byReason":{"unknown-key":990}/)
  assert.equal(lines.length, 12)
  assert.doesNotMatch(lines.join(), /secret/)
})

test('operators are shown accounts without keys or digests', () => {
  assert.deepEqual(summarizeAccounts([account('a', 'ka', 'kb')]), [{ name: 'a', weight: 1, quota, keys: 2 }])
})
