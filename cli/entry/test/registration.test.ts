import assert from 'node:assert/strict'
import { test } from 'node:test'
import { silentLogger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import { StoreKeys, Members, type EntryLease } from '@wisteriaslip/peers.membership'
import { Mirror } from '@wisteriaslip/store.mirror'
import { StoreClient } from '@wisteriaslip/store.client'
import { ManualClock, MemoryDriver } from '@wisteriaslip/testing.stand-ins'
import { Registration } from '../src/registration.ts'
import type { EntryState } from '../src/state.ts'

function createRegistration () {
  const keys = new StoreKeys('w')
  const driver = new MemoryDriver()
  const clock = new ManualClock()
  const store = new StoreClient(driver, { readsPerSecond: 1e6, writesPerSecond: 1e6, metrics: new Metrics(), clock })
  const mirror = new Mirror()
  const members = new Members({ id: 'e', incarnation: 'i', region: 'r', zone: 'z', peerAddress: { host: '127.0.0.1', port: 1 } }, mirror, keys)
  const lease = { validLeaseId: () => 'lease' } as unknown as EntryLease
  const state = { keys, store, mirror, members, lease, logger: silentLogger } as unknown as EntryState
  return { driver, clock, registration: new Registration(state) }
}

test('concurrent calls register the entry once', async () => {
  const { registration } = createRegistration()
  await Promise.all([registration.ensureRegistered(), registration.ensureRegistered()])
  await registration.ensureRegistered()
  assert.equal(registration.hasHolderRecord(), true)
  assert.equal(registration.isMember(), true)
})

test('a holder record counts as written even if the reply to the write was lost', async () => {
  const { driver, clock, registration } = createRegistration()
  driver.faults.push('lose-reply', 'lose-call', 'lose-call')
  await registration.ensureRegistered()
  assert.equal(registration.hasHolderRecord(), false)
  clock.advance(5_000)
  await registration.ensureRegistered()
  assert.equal(registration.hasHolderRecord(), true)
  assert.equal(registration.isMember(), true)
})
