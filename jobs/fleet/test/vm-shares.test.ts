import assert from 'node:assert/strict'
import { test } from 'node:test'
import { shareVms } from '@wisteriaslip/jobs.fleet'
import fc from 'fast-check'

function shares (requests: Record<string, number | [required: number, lasting: number]>, total: number): Record<string, number> {
  const list = Object.entries(requests).map(([name, value]) => {
    const [required, lasting] = typeof value === 'number' ? [value, 0] : value
    return { name, required, lasting }
  })
  return Object.fromEntries(shareVms(list, total))
}

test('three pools at their peak and a small one: the small one gets all it requires', () => {
  assert.deepEqual(shares({ a: 40, b: 50, c: 45, small: 3 }, 63), { a: 20, b: 20, c: 20, small: 3 })
})

test('demand of twice the fleet: pools that require the same get the same', () => {
  assert.deepEqual(shares({ a: 36, b: 36, c: 36, d: 36 }, 72), { a: 18, b: 18, c: 18, d: 18 })
})

test('long-running tasks keep their VMs while batch work is rationed', () => {
  assert.deepEqual(shares({ a: [30, 12], b: 30, c: 2 }, 20), { a: 12, b: 6, c: 2 })
})

test('what jobs beyond the weights of their accounts require comes after all that others require, and gets what is left', () => {
  const share = (total: number): Record<string, number> => Object.fromEntries(shareVms([{ name: 'flooded', required: 40, lasting: 0, owed: 5 }, { name: 'within', required: 20, lasting: 0, owed: 20 }], total))
  assert.deepEqual(share(24), { flooded: 5, within: 19 })
  assert.deepEqual(share(40), { flooded: 20, within: 20 })
  assert.deepEqual(share(3), { flooded: 2, within: 1 })
})

test('with enough VMs each pool gets what it requires', () => {
  assert.deepEqual(shares({ a: 5, b: 7, none: 0 }, 40), { a: 5, b: 7, none: 0 })
})

test('shares are max-min fair: none exceeds its requirement, all VMs are used, and no pool can be raised fairly', () => {
  const request = fc.record({ required: fc.integer({ min: 0, max: 60 }), lasting: fc.integer({ min: 0, max: 10 }) })
  fc.assert(fc.property(fc.array(request, { minLength: 1, maxLength: 8 }), fc.integer({ min: 0, max: 200 }), (pools, total) => {
    const requests = pools.map((pool, number) => ({ name: `p${number}`, ...pool }))
    const result = shareVms(requests, total)
    const required = requests.reduce((sum, each) => sum + each.required, 0)
    const given = [...result.values()].reduce((sum, share) => sum + share, 0)
    assert.equal(given, Math.min(total, required))
    for (const { name, required, lasting } of requests) {
      const share = result.get(name) ?? 0
      assert.ok(share <= required)
      if (share === required) continue
      for (const other of requests) {
        const otherShare = result.get(other.name) ?? 0
        assert.ok(otherShare <= Math.max(share + 1, other.lasting, 1), `${other.name} has ${otherShare}, ${name} only ${share} of ${required} (${lasting} lasting)`)
      }
    }
  }))
})
