import assert from 'node:assert/strict'
import { test } from 'node:test'
import { QuotaLimiter } from '../src/limiter.ts'
import { planPart, type QuotaRecord } from '../src/parts.ts'
import { QuotaBook } from '../src/quota-book.ts'

const cores = (count: number) => ({ cpu: count * 1_000, memMb: 0, accelerators: 0 })
const limits = { cpu: 6_000, memMb: Infinity, accelerators: Infinity }

test('a turn that is not used for a second although the part is enough goes to the end', () => {
  let now = 0
  const limiter = new QuotaLimiter({ service: 's', clock: { now: () => now }, account: () => undefined, book: new QuotaBook('s', 'p/'), onNeed () {} })
  const isOver = (at: number, isEnough: boolean): boolean => {
    now = at
    limiter.noteClaim('team', isEnough)
    return limiter.hasProgressed('team')
  }
  assert.equal(isOver(0, true), false)
  assert.equal(isOver(900, false), false)
  assert.equal(isOver(1_100, true), false)
  assert.equal(isOver(2_099, true), false)
  assert.equal(isOver(2_100, true), true)
  limiter.forgetProgress('team')
  assert.equal(isOver(2_200, true), false)
  const record: QuotaRecord = { quota: cores(6), parts: { s: { given: cores(6), wants: { total: cores(6), atOnce: cores(6), turn: 1 } }, other: { given: cores(0), wants: { total: cores(2), atOnce: cores(1), turn: 2 } } } }
  const need = { inUse: cores(0), total: cores(6), totalWithoutRoom: cores(6), atOnce: cores(6), smallest: cores(6), idle: false }
  assert.equal(planPart(record, 's', { limits, need: { ...need, progressed: false } }).part?.wants?.turn ?? 1, 1)
  assert.equal(planPart(record, 's', { limits, need: { ...need, progressed: true } }).part?.wants?.turn, 3)
})
