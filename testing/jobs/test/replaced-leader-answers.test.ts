import assert from 'node:assert/strict'
import { test } from 'node:test'
import { delay } from '@wisteriaslip/core.result'
import { waitUntil, withSite } from '@wisteriaslip/testing.jobs'

/** Longer than a leader acts without a confirmation. */
const UNCONFIRMED_MS = 1_800
const NEVER_ABORTED = new AbortController().signal

// A replaced leader called VMs empty on which its successor had started tasks; the fleet's leader moved and maintained them.
test('a leader that is not confirmed calls no VM drained', async () => {
  await withSite(async site => {
    const { vms } = site
    const replaced = await site.elect()
    const ids = vms.map(vm => vm.id)
    await waitUntil('all VMs are drained', () => replaced.term.withdraw(ids)?.length === ids.length)
    replaced.disconnectFromStore()
    await delay(UNCONFIRMED_MS, NEVER_ABORTED)
    assert.equal(replaced.term.withdraw(ids), undefined)
  })
})
