import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ListedVms } from '../src/listed-vms.ts'

test('a list is due until the VMs of all workers were listed, once a second at most', () => {
  const vms = new ListedVms()
  assert.equal(vms.isListDue(['a', 'b', 'c'], 0), true)
  assert.equal(vms.isListDue(['a', 'b', 'c'], 999), false, 'the call may still be going on, or have failed')
  vms.note(['a'], ['a', 'b', 'c'])
  assert.equal(vms.isListDue(['a', 'b', 'c'], 1_000), true)
  vms.note(['b', 'c'], ['a', 'b', 'c'])
  assert.equal(vms.isListDue(['a', 'b', 'c'], 2_000), false)
  assert.equal(vms.isListDue(['a', 'b', 'c', 'd'], 2_000), true, 'a VM that joins')
})

test('calls without a list are repeated, but a VM that three lists do not show is not asked for again', () => {
  const vms = new ListedVms()
  for (let second = 0; second < 5; second++) assert.equal(vms.isListDue(['a'], second * 1_000), true)
  for (let list = 0; list < 3; list++) vms.note(['b'], ['a'])
  assert.equal(vms.isListDue(['a'], 5_000), false)
})

test('no list is due without workers, or for a worker without a VM', () => {
  const vms = new ListedVms()
  assert.equal(vms.isListDue([], 0), false)
  assert.equal(vms.isListDue([''], 0), false)
})
