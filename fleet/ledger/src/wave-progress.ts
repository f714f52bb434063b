import type { Disruption, PoolLedger, WaveProgress } from './types.ts'

/**
 * @param ledger - ledger of a pool
 * @param wave - name of a wave
 * @param declaredIn - generation of the configuration in which it was declared
 * @returns its progress in the pool; that of an earlier wave of its name does not count
 */
export function progressOf (ledger: PoolLedger, wave: string, declaredIn: number | undefined): WaveProgress {
  const stored = ledger.waves[wave]
  return stored !== undefined && stored.declaredIn === declaredIn ? stored : { declaredIn, done: [], setAside: [] }
}

/**
 * Notes that a wave is done with a VM.
 * @param ledger - ledger of the pool
 * @param vm - name of the VM
 * @param disruption - disruption of the VM that is over
 * @returns the new ledger
 */
export function markDone (ledger: PoolLedger, vm: string, disruption: Disruption): PoolLedger {
  return changeProgress(ledger, disruption, progress => ({
    ...progress,
    done: [...progress.done, vm],
    setAside: progress.setAside.filter(each => each.vm !== vm)
  }))
}

/**
 * Notes that a wave skips a VM.
 * @param ledger - ledger of the pool
 * @param vm - name of the VM
 * @param disruption - disruption of the VM by the wave
 * @param reason - why the VM is skipped
 * @returns the new ledger
 */
export function markSetAside (ledger: PoolLedger, vm: string, disruption: Disruption, reason: string): PoolLedger {
  return changeProgress(ledger, disruption, progress => ({
    ...progress,
    setAside: [...progress.setAside.filter(each => each.vm !== vm), { vm, reason }]
  }))
}

/** Changes nothing for a move, or when a later wave of the same name has made progress already. */
function changeProgress (ledger: PoolLedger, { wave, waveDeclaredIn }: Disruption, change: (progress: WaveProgress) => WaveProgress): PoolLedger {
  if (wave === undefined || (ledger.waves[wave]?.declaredIn ?? 0) > (waveDeclaredIn ?? 0)) return ledger
  return { ...ledger, waves: { ...ledger.waves, [wave]: change(progressOf(ledger, wave, waveDeclaredIn)) } }
}
