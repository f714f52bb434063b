import assert from 'node:assert/strict'
import { test } from 'node:test'
import { freePorts } from '@wisteriaslip/testing.stand-ins'

const PORTS_MODULE = '../src/ports.ts'

// Test processes whose ids differ by a multiple of 95 were given the ports of each other's entries that were just restarting.
test('ports are not given to another process that begins its search at the same port, also while nobody listens there', async () => {
  const ours = await freePorts(10)
  const another = await import(`${PORTS_MODULE}?another`) as { freePorts: typeof freePorts }
  const theirs = await another.freePorts(10)
  assert.deepEqual(theirs.filter(port => ours.includes(port)), [])
})

test('more ports than a block has are all different', async () => {
  const ports = await freePorts(450)
  assert.equal(new Set(ports).size, 450)
})
