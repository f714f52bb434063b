import assert from 'node:assert/strict'
import { test } from 'node:test'
import { recordingLogger } from '@wisteriaslip/core.logger'
import { err, ok } from '@wisteriaslip/core.result'
import type { Job } from '@wisteriaslip/jobs.model'
import { plainStep, waitUntil } from '@wisteriaslip/testing.jobs'
import { IndexMigration } from '../src/index-migration.ts'
import type { ServiceTermOpts } from '../src/ports.ts'

const job = (id: string, queue = 'q'): Job => ({ id, queue, service: 's', payload: '', steps: [plainStep()], acceptedAt: 0, acceptedUnder: 1 })

/** Runs a migration whose writes have the given errors first, until it has written the last of the jobs. */
async function migrate (jobs: readonly Job[], errors: Record<string, string[]>): Promise<{ written: string[], logged: string[] }> {
  const written: string[] = []
  const logged: string[] = []
  const addIndexEntry = async ({ id, address }: { id: string, address: string }) => {
    const kind = errors[id]?.shift()
    if (kind !== undefined) return err({ kind, code: kind })
    written.push(`${address} ${id}`)
    return ok(undefined)
  }
  const queue = (name: string) => name === 'q' ? { name, host: 'h', pathPrefix: '/q/' } : undefined
  const opts = { service: 's', queue, records: { addIndexEntry }, guard: { key: 'leader' }, logger: recordingLogger(logged) } as unknown as ServiceTermOpts
  const migration = new IndexMigration(opts)
  for (const each of jobs) migration.note(each)
  const end = new AbortController()
  const done = migration.run(end.signal)
  await waitUntil('the last one is written', () => written.some(entry => entry.endsWith(jobs.at(-1)?.id ?? '')))
  end.abort()
  await done
  return { written, logged }
}

// A record that the store rejects was tried again and again, and no other job got its entry.
test('a job whose entry cannot be written, or whose queue is not known, holds up no other', async () => {
  const { written, logged } = await migrate([job('gone', 'removed'), job('rejected'), job('taken'), job('last')], { rejected: ['rejected'], taken: ['conflict'] })
  assert.deepEqual(written, ['h/q/ last'])
  assert.ok(logged.some(message => message.startsWith('no index entry added')))
})

test('while the store cannot be written, the entry is written later', async () => {
  const { written } = await migrate([job('first'), job('last')], { first: ['unavailable'] })
  assert.deepEqual(written, ['h/q/ first', 'h/q/ last'])
})

test('a job of this version gets no second entry', async () => {
  const { written } = await migrate([{ ...job('new'), address: 'h/q/' }, job('last')], {})
  assert.deepEqual(written, ['h/q/ last'])
})
