import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import fc from 'fast-check'
import { settingsSchema } from '@wisteriaslip/config.settings'
import { checkDocuments, FleetConfig, matchesSelector, parseDocument, resolveMaxUnavailable, type Document, type PoolDoc } from '@wisteriaslip/config.documents'

function parseAll (inputs: readonly unknown[]): Document[] {
  return inputs.map(input => {
    const parsed = parseDocument(input)
    assert.ok(parsed.ok, JSON.stringify(parsed))
    return parsed.value
  })
}

function sample (site: string, file: string): unknown {
  return JSON.parse(readFileSync(new URL(`../../../samples/${site}/${file}`, import.meta.url), 'utf8'))
}

for (const site of ['brindleworth', 'pustak-chhaya']) {
  test(`sample configuration of ${site} is valid`, () => {
    const documents = parseAll(sample(site, 'documents.json') as unknown[])
    const checked = checkDocuments(documents)
    assert.ok(checked.ok, JSON.stringify(checked))
    const config = new FleetConfig(documents)
    for (const workload of config.workloads) assert.ok(config.poolFor(workload.name))
    const settings = settingsSchema.safeParse(sample(site, 'entry-1.json'))
    assert.ok(settings.success, JSON.stringify(settings.error))
  })
}

test('a parsed document with its defaults parses to itself', () => {
  const [parsedOnce] = parseAll([{ kind: 'vm', name: 'v', role: 'worker', address: { host: '10.0.0.1', port: 1 }, region: 'r', zone: 'z', rack: 'k' }])
  assert.deepEqual(parseAll([parsedOnce]), [parsedOnce])
})

test('documents that contradict each other are rejected', () => {
  const vm = { kind: 'vm', name: 'a', role: 'worker', address: { host: '10.0.0.1', port: 1 }, region: 'r', zone: 'z', rack: 'k' }
  const cases: Array<[unknown[], RegExp]> = [
    [[vm, { ...vm, name: 'b' }], /address 10\.0\.0\.1:1 is also that of a/],
    [[{ kind: 'class', name: 'a', rank: 0, floor: 0.7 }, { kind: 'class', name: 'b', rank: 1, floor: 0.7 }], /floors add up to 1\.4/],
    [[{ kind: 'tenant', name: 'a' }, { kind: 'tenant', name: 'b' }], /have no key/]
  ]
  for (const [inputs, message] of cases) {
    const checked = checkDocuments(parseAll(inputs))
    assert.match(checked.ok ? '' : checked.error.message, message)
  }
})

test('an empty selector matches nothing; a list matches any of its values', () => {
  assert.equal(matchesSelector({}, { a: '1' }), false)
  assert.equal(matchesSelector({ a: ['1', '2'] }, { a: '2' }), true)
  assert.equal(matchesSelector({ a: '1', b: '1' }, { a: '1' }), false)
})

test('a percentage budget never allows more unavailable VMs than it states', () => {
  fc.assert(fc.property(fc.integer({ min: 0, max: 100 }), fc.integer({ min: 0, max: 200 }), (percent, size) => {
    const pool: PoolDoc = { kind: 'pool', name: 'p', labels: {}, selector: {}, order: 0, spare: false, budget: { minAvailable: `${percent}%` } }
    assert.ok(size - resolveMaxUnavailable(pool, size) >= percent / 100 * size - 1e-9)
    assert.ok(resolveMaxUnavailable({ ...pool, budget: { maxUnavailable: `${percent}%` } }, size) <= percent / 100 * size + 1e-9)
  }), { seed: 3 })
})

test('a request matches the workload with the longest path prefix', () => {
  const config = new FleetConfig(parseAll([
    { kind: 'workload', name: 'all', match: { pathPrefix: '/' }, poolSelector: { a: '1' }, class: 'c', idempotent: true, deadlineMs: 100, maxRunMs: 50 },
    { kind: 'workload', name: 'sub', match: { pathPrefix: '/sub', methods: ['POST'] }, poolSelector: { a: '1' }, class: 'c', idempotent: true, deadlineMs: 100, maxRunMs: 50 }
  ]))
  assert.equal(config.workloadFor('POST', '/sub/x')?.name, 'sub')
  assert.equal(config.workloadFor('GET', '/sub/x')?.name, 'all')
  assert.equal(config.workloadFor('POST', '/subway')?.name, 'all')
})
