import assert from 'node:assert/strict'
import { test } from 'node:test'
import { recordingLogger } from '@wisteriaslip/core.logger'
import { serviceHolds } from '@wisteriaslip/jobs.scheduler'
import { ManualClock } from '@wisteriaslip/testing.stand-ins'
import { LeaderlessMonitor, missingParts } from '../src/leaderless-monitor.ts'

const GONE = 'a leader is at work again'
const SEEN = 'no leader is at work for the service'

/** Entry e1, which knows service `s`, led by e2 with token 7 unless a test says otherwise. */
function createEntry () {
  const clock = new ManualClock()
  const lines: Array<Record<string, unknown>> = []
  const seen = {
    services: ['s'],
    leader: { record: { id: 'e2', incarnation: 'i2' }, token: 7 } as { record: { id: string, incarnation: string }, token: number } | undefined,
    term: undefined as { token: number, hasRecords: () => boolean } | undefined,
    lastToken: undefined as number | undefined
  }
  const add = (fields: Record<string, unknown>, msg: string): void => { lines.push({ ...fields, msg }) }
  const logger = Object.assign(recordingLogger([]), { info: add, warn: add })
  const monitor = new LeaderlessMonitor({
    services: () => seen.services,
    leadership: { leaderOf: () => seen.leader, recordedToken: () => seen.leader?.record.id === 'e1' ? seen.leader.token : undefined },
    members: { all: () => [{ id: 'e1', incarnation: 'i1', region: 'r', zone: 'z', peerAddress: { host: 'h', port: 1 } }, { id: 'e2', incarnation: 'i2', region: 'r', zone: 'z', peerAddress: { host: 'h', port: 2 } }] },
    terms: { get: () => seen.term, lastToken: () => seen.lastToken },
    hasStoreAccess: () => true,
    clock,
    logger
  })
  const pass = (ms: number): void => {
    for (let passedMs = 0; passedMs < ms; passedMs += 500) {
      clock.advance(500)
      monitor.observe()
    }
  }
  monitor.observe()
  const lead = (token: number): void => { seen.leader = { record: { id: 'e1', incarnation: 'i1' }, token } }
  return { seen, lines, pass, lead }
}

test('a service that another member leads has no line', () => {
  const { pass, lines } = createEntry()
  pass(20_000)
  assert.deepEqual(lines, [])
})

// Nobody logged that a service had no leader: its long-running tasks waited without a line that said so.
test('a service without a leader is logged after 5 s, then each 5 s, and once when it has one', () => {
  const { seen, pass, lines } = createEntry()
  seen.leader = undefined
  pass(16_000)
  seen.leader = { record: { id: 'e2', incarnation: 'i2' }, token: 9 }
  pass(10_000)
  assert.deepEqual(lines.map(({ msg, forMs }) => [msg, forMs]), [[SEEN, 5_000], [SEEN, 10_000], [SEEN, 15_000], [GONE, 16_000]])
  assert.deepEqual(lines[0], { service: 's', leader: undefined, token: undefined, forMs: 5_000, missing: 'NO_LEADER', storeReached: true, msg: SEEN })
  assert.equal(lines[3]?.token, 9)
})

test('short gaps, as at each change of leader, have no line', () => {
  const { seen, pass, lines } = createEntry()
  for (let change = 0; change < 5; change++) {
    const { leader } = seen
    seen.leader = undefined
    pass(4_500)
    seen.leader = leader
    pass(500)
  }
  assert.deepEqual(lines, [])
})

test('a leader that has restarted, or is no member, is not at work', () => {
  const { seen, pass, lines } = createEntry()
  seen.leader = { record: { id: 'e2', incarnation: 'before' }, token: 7 }
  pass(5_500)
  assert.deepEqual(lines.map(({ missing, leader, token }) => [missing, leader, token]), [['LEADER_IS_NO_MEMBER', 'e2', 7]])
})

test('what the own term lacks is named', () => {
  const { seen, pass, lines, lead } = createEntry()
  lead(8)
  pass(5_500)
  seen.lastToken = 6
  seen.term = { token: 6, hasRecords: () => true }
  pass(5_000)
  seen.lastToken = 8
  seen.term = { token: 8, hasRecords: () => false }
  pass(5_000)
  seen.term = undefined
  pass(5_000)
  assert.deepEqual(lines.map(({ missing }) => missing), ['TERM_NOT_BEGUN', 'EARLIER_TERM_ENDING', 'RECORDS_NOT_READ', 'TERM_ENDED'])
  seen.term = { token: 8, hasRecords: () => true }
  pass(500)
  assert.equal(lines.at(-1)?.msg, GONE)
})

test('a service that is no longer known has no further line', () => {
  const { seen, pass, lines } = createEntry()
  seen.leader = undefined
  pass(5_500)
  seen.services = []
  pass(10_000)
  assert.equal(lines.length, 1)
})

test('what a service lacks is in the catalogue of holds', () => {
  assert.deepEqual(Object.values(missingParts).sort(), Object.keys(serviceHolds).sort())
})
