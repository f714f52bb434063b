import { withTimeout } from '@wisteriaslip/core.result'
import type { Driver, Guard } from '@wisteriaslip/store.client'

const CALL_TIMEOUT_MS = 800

/**
 * Writes the status of a wave for operators, unless it is stored already. It is written through the driver, because the
 * store client would add its envelope to the operators' format.
 * @param driver - driver of the store
 * @param status - `key` of the status in the store; `text`: the status in the operators' format
 * @param opts - `guards`: what must hold for the status to be written; `signal`: aborts the write
 * @returns whether the status is stored; false also when that is unknown
 */
export async function writeWaveStatus (driver: Driver, status: { readonly key: string, readonly text: string }, opts: { readonly guards: readonly Guard[], readonly signal: AbortSignal }): Promise<boolean> {
  const { key, text } = status
  const range = await withTimeout(CALL_TIMEOUT_MS, opts.signal, async inner => await driver.range(key, { signal: inner }))
  if (!range.ok) return false
  const current = range.value.kvs[0]
  if (current?.value === text) return true
  const txn = { guards: [...opts.guards, { key, modRevision: current?.modRevision ?? 0 }], puts: [{ key, value: text }], deletes: [] }
  const written = await withTimeout(CALL_TIMEOUT_MS, opts.signal, async inner => await driver.txn(txn, inner))
  return written.ok && written.value.succeeded
}
