import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Vm } from '@wisteriaslip/jobs.model'
import { UnlistedVms } from '../src/unlisted-vms.ts'

function listOf (ids: readonly string[], unreadable: readonly string[] = []): { vms: Vm[], unreadable: readonly string[] } {
  return { vms: ids.map(id => ({ id }) as Vm), unreadable }
}

test('a list is due until the VMs of all workers were listed, readable or not, once a second at most', () => {
  const unlisted = new UnlistedVms()
  assert.equal(unlisted.isListDue(['a', 'b', 'c'], 0), true)
  assert.equal(unlisted.isListDue(['a', 'b', 'c'], 999), false, 'the call may still be going on, or have failed')
  unlisted.note(listOf(['a']), ['a', 'b', 'c'])
  assert.equal(unlisted.isListDue(['a', 'b', 'c'], 1_000), true)
  unlisted.note(listOf(['b'], ['c']), ['a', 'b', 'c'])
  assert.equal(unlisted.isListDue(['a', 'b', 'c'], 2_000), false)
  assert.equal(unlisted.isListDue(['a', 'b', 'c', 'd'], 2_000), true, 'a VM that joins')
})

test('calls without a list are repeated, but a VM that three lists do not show is not asked for again', () => {
  const unlisted = new UnlistedVms()
  for (let second = 0; second < 5; second++) assert.equal(unlisted.isListDue(['a'], second * 1_000), true)
  for (let list = 0; list < 3; list++) unlisted.note(listOf(['b']), ['a'])
  assert.equal(unlisted.isListDue(['a'], 5_000), false)
})

test('no list is due without workers, or for a worker without a VM', () => {
  const unlisted = new UnlistedVms()
  assert.equal(unlisted.isListDue([], 0), false)
  assert.equal(unlisted.isListDue([''], 0), false)
})
