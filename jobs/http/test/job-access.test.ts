import assert from 'node:assert/strict'
import type { AddressInfo } from 'node:net'
import { test, type TestContext } from 'node:test'
import { request } from 'undici'
import { silentLogger } from '@wisteriaslip/core.logger'
import { Metrics } from '@wisteriaslip/core.metrics'
import { systemClock } from '@wisteriaslip/core.result'
import { AccountDirectory, CallGate, digestOfKey } from '@wisteriaslip/jobs.accounts'
import { createJobServer, jobStoreLayout, type JobServerOpts } from '@wisteriaslip/jobs.http'
import type { JobRequest } from '@wisteriaslip/jobs.model'

const job = (queue: string): string => JSON.stringify({ id: 'j1', queue, steps: [{ tasks: 1 }] })
const base = { version: 1, services: [{ name: 's' }], queues: [{ name: 'q', service: 's' }, { name: 'p', service: 's', public: true }] }
const accounts = [{ name: 'a', keySha256: [digestOfKey('key-a')], weight: 3, quota: { cpu: 5_000 } }]

async function startServer (t: TestContext, change: object) {
  const config = jobStoreLayout('w').decodeConfig(JSON.stringify({ ...base, ...change }))
  const directory = config?.accounts && new AccountDirectory(config.accounts)
  const submitted: JobRequest[] = []
  const asked: Array<string | undefined> = []
  const intake = {
    submit: async (req: JobRequest) => { submitted.push(req); return { kind: 'accepted' } },
    state: async (_queue: unknown, _id: string, account?: string) => { asked.push(account); return 'running' },
    cancel: async (_queue: unknown, _id: string, account?: string) => { asked.push(account); return 'cancelled' },
    pending: async () => 0
  }
  const server = createJobServer({
    key: 'operators-key',
    intake: intake as unknown as JobServerOpts['intake'],
    callGate: new CallGate({ current: () => ({ accounts: directory, version: config?.version }), clock: systemClock, logger: silentLogger, metrics: new Metrics() }),
    publicQueue: () => config?.queues.find(queue => queue.public === true),
    queue: name => config?.queues.find(queue => queue.name === name),
    configure: async () => 'stored',
    status: async () => ({}),
    explain: async () => ({ kind: 'untracked' })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  t.after(() => { server.closeAllConnections(); server.close() })
  const call = async (method: 'GET' | 'POST' | 'DELETE', path: string, key: string, body?: string): Promise<[number, string | undefined]> => {
    const res = await request(`http://127.0.0.1:${(server.address() as AddressInfo).port}${path}`, { method, headers: { authorization: `Bearer ${key}` }, ...(body === undefined ? {} : { body }) })
    return [res.statusCode, (await res.body.json() as { code?: string }).code]
  }
  return { call, submitted, asked }
}

const unknown = [401, 'ACCOUNT_KEY_UNKNOWN']

test('calls about jobs need the key of an account, those of operators theirs', async t => {
  const { call, submitted, asked } = await startServer(t, { accounts })
  assert.deepEqual(await call('POST', '/v1/jobs', 'key-x', job('q')), unknown)
  for (const [method, path] of [['GET', '/v1/jobs/q/j1'], ['DELETE', '/v1/jobs/q/j1'], ['GET', '/v1/queues/q'], ['GET', '/v1/queues/none']] as const) assert.deepEqual(await call(method, path, 'key-x'), unknown)
  for (const key of ['key-a', 'operators-key']) {
    assert.deepEqual(await call('POST', '/v1/jobs', key, job('q')), [202, undefined])
    for (const method of ['GET', 'DELETE'] as const) assert.deepEqual(await call(method, '/v1/jobs/q/j1', key), [200, undefined])
  }
  assert.deepEqual(await call('POST', '/v1/jobs', 'key-x', job('p')), [202, undefined])
  assert.deepEqual(submitted.map(({ account }) => account), ['a', undefined, undefined])
  assert.deepEqual(asked, ['a', 'a', undefined, undefined])
  for (const path of ['/v1/job-status', '/v1/explain?kind=job&name=j1']) assert.deepEqual(await call('GET', path, 'key-a'), [401, 'OPERATOR_KEY_WRONG'])
  assert.deepEqual(await call('POST', '/v1/job-config', 'key-a', '{}'), [401, 'OPERATOR_KEY_WRONG'])
})

test('without a public queue a submission without a known key is refused whatever its body', async t => {
  const { call } = await startServer(t, { accounts, queues: [{ name: 'q', service: 's' }] })
  assert.deepEqual(await call('POST', '/v1/jobs', 'key-x', '{'), unknown)
})

test('without accounts all calls need the operators\' key', async t => {
  const { call, submitted } = await startServer(t, {})
  for (const queue of ['q', 'p']) assert.deepEqual(await call('POST', '/v1/jobs', 'key-a', job(queue)), [401, 'OPERATOR_KEY_WRONG'])
  assert.deepEqual(await call('GET', '/v1/jobs/q/j1', 'key-a'), [401, 'OPERATOR_KEY_WRONG'])
  assert.deepEqual(await call('POST', '/v1/jobs', 'operators-key', job('q')), [202, undefined])
  assert.equal(Object.hasOwn(submitted[0] ?? {}, 'account'), false)
})

test('accounts are configured with digests, and names and keys that differ', () => {
  const { decodeConfig } = jobStoreLayout('w')
  const decode = (list: object[]): unknown => decodeConfig(JSON.stringify({ ...base, accounts: list }))?.accounts
  assert.deepEqual(decode(accounts), [{ name: 'a', keyDigests: [digestOfKey('key-a')], weight: 3, quota: { cpu: 5_000, memMb: 0, accelerators: 0 } }])
  for (const other of [{ name: 'a' }, { name: 'b', keySha256: accounts[0]?.keySha256 }, { name: 'b', keySha256: ['key-b'] }, { name: 'b', weight: 0 }, { name: 'b\ud800' }]) assert.equal(decode([...accounts, other]), undefined)
})
