import assert from 'node:assert/strict'
import { test } from 'node:test'
import { rankCandidates, surplusLeaderships, type Candidate } from '../src/candidates.ts'

function members (count: number, opts: { weight?: number, leads?: number } = {}): Candidate[] {
  return Array.from({ length: count }, (_, number) => ({ id: `m${number}`, weight: opts.weight ?? 1, leads: opts.leads ?? 0 }))
}

function firsts (turns: Map<string, string[]>): string[] {
  return [...turns.values()].map(order => order[0] ?? '')
}

const resources = ['fleet', 'a', 'b', 'c', 'd']

test('no member leads two resources while another leads none', () => {
  assert.equal(new Set(firsts(rankCandidates(resources, members(6)))).size, 5)
})

test('members that lead already come after those that do not', () => {
  const busy = members(3, { leads: 1 })
  const idle = [{ id: 'idle', weight: 1, leads: 0 }]
  assert.deepEqual(firsts(rankCandidates(['a'], [...busy, ...idle])), ['idle'])
})

test('weak members lead only when no strong one is there', () => {
  const weak = members(26, { weight: 0.3 })
  const strong = [{ id: 's0', weight: 1.3, leads: 2 }, { id: 's1', weight: 1.3, leads: 0 }]
  const turns = rankCandidates(resources, [...weak, ...strong])
  assert.ok(firsts(turns).every(id => id.startsWith('s')))
  for (const order of turns.values()) assert.equal(order.length, 28)
  assert.equal(new Set(firsts(rankCandidates(resources, weak))).size, 5)
})

test('a member hands over what it leads beyond its share, and a weak one all', () => {
  const strong = [{ id: 'own', weight: 1, leads: 3 }, { id: 'o1', weight: 1, leads: 1 }, { id: 'o2', weight: 1, leads: 0 }]
  assert.equal(surplusLeaderships('own', strong), 1)
  assert.equal(surplusLeaderships('o1', strong), 0)
  assert.equal(surplusLeaderships('weak', [...strong, { id: 'weak', weight: 0.2, leads: 2 }]), 2)
  assert.equal(surplusLeaderships('weak', [{ id: 'weak', weight: 0.2, leads: 2 }]), 0)
})

test('hand-overs of all members together do not exceed what a new one lacks', () => {
  const all = [...members(6, { leads: 35 }), { id: 'new', weight: 1, leads: 0 }]
  const handed = members(6).map(({ id }) => surplusLeaderships(id, all)).reduce((sum, each) => sum + each, 0)
  assert.equal(handed, 30)
})
