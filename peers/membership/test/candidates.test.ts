import assert from 'node:assert/strict'
import { test } from 'node:test'
import { rankCandidates, surplusLeaderships, type Candidate } from '../src/candidates.ts'

function members (count: number, opts: { weight?: number, ledCount?: number } = {}): Candidate[] {
  return Array.from({ length: count }, (_, number) => ({ id: `m${number}`, weight: opts.weight ?? 1, ledCount: opts.ledCount ?? 0 }))
}

function preferredIds (rankings: Map<string, string[]>): string[] {
  return [...rankings.values()].map(order => order[0] ?? '')
}

const resources = ['fleet', 'a', 'b', 'c', 'd']

test('no member leads two resources while another leads none', () => {
  assert.equal(new Set(preferredIds(rankCandidates(resources, members(6)))).size, 5)
})

test('members that already lead rank after those that do not', () => {
  const busy = members(3, { ledCount: 1 })
  const idle = [{ id: 'idle', weight: 1, ledCount: 0 }]
  assert.deepEqual(preferredIds(rankCandidates(['a'], [...busy, ...idle])), ['idle'])
})

test('weak members lead only when no strong one is present', () => {
  const weak = members(26, { weight: 0.3 })
  const strong = [{ id: 's0', weight: 1.3, ledCount: 2 }, { id: 's1', weight: 1.3, ledCount: 0 }]
  const rankings = rankCandidates(resources, [...weak, ...strong])
  assert.ok(preferredIds(rankings).every(id => id.startsWith('s')))
  for (const order of rankings.values()) assert.equal(order.length, 28)
  assert.equal(new Set(preferredIds(rankCandidates(resources, weak))).size, 5)
})

test('a member releases the resources beyond its share, and a weak member releases all', () => {
  const strong = [{ id: 'own', weight: 1, ledCount: 3 }, { id: 'o1', weight: 1, ledCount: 1 }, { id: 'o2', weight: 1, ledCount: 0 }]
  assert.equal(surplusLeaderships('own', strong), 1)
  assert.equal(surplusLeaderships('o1', strong), 0)
  assert.equal(surplusLeaderships('weak', [...strong, { id: 'weak', weight: 0.2, ledCount: 2 }]), 2)
  assert.equal(surplusLeaderships('weak', [{ id: 'weak', weight: 0.2, ledCount: 2 }]), 0)
})

test('releases of all members together do not exceed the share of a new member', () => {
  const all = [...members(6, { ledCount: 35 }), { id: 'new', weight: 1, ledCount: 0 }]
  const surplus = members(6).map(({ id }) => surplusLeaderships(id, all)).reduce((sum, each) => sum + each, 0)
  assert.equal(surplus, 30)
})
