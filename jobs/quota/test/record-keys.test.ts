import assert from 'node:assert/strict'
import { test } from 'node:test'
import { QuotaBook } from '../src/quota-book.ts'

test('every name has a key of its own, from which the record is found again', () => {
  const names = ['a', 'a/b', '%', '%ud800', '%25ud800', '\ud800', '\udc00', 'x\udc00\ud800y', '\u{1f600}', 'ud800']
  const book = new QuotaBook('s', 'p/')
  assert.equal(new Set(names.map(name => book.key(name))).size, names.length)
  for (const name of names) book.applyRemoval(book.key(name), 1)
  assert.deepEqual(book.accounts(), names)
})
