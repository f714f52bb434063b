import type { EntryStatus } from '@wisteriaslip/cli.operators'
import { exitCodes, print, type Command } from '../command.ts'
import { formatWaveStatus } from '../format-wave.ts'
import { printOperatorError, OperatorClient } from '../operator-client.ts'

/** `wisteriaslip status`: prints the state of entries, pools and waves. */
export const statusCommand: Command = {
  name: 'status',
  help: `Usage: wisteriaslip status [options]

Shows the revision in effect at each entry, pools with their leaders and VMs,
waves with their progress, and latencies by client account and class.

  --entry URL, --key-file FILE, --json`,
  async run (_input, flags) {
    const client = await OperatorClient.from(flags)
    const status = await client.get<EntryStatus>('/v1/status')
    if (!status.ok) return printOperatorError(status.error)
    if (flags.json === true) print(JSON.stringify(status.value))
    else printStatus(status.value)
    return exitCodes.ok
  }
}

function printStatus (status: EntryStatus): void {
  print(`entry ${status.id} ${status.ready ? 'ready' : 'not ready'} at revision ${status.revision}, store ${status.storeAvailable ? 'up' : 'down'}`)
  for (const member of status.members) print(`  member ${member.id} in ${member.zone} revision ${member.revision ?? 'unknown'}`)
  for (const pool of status.pools) {
    print(`pool ${pool.pool} led by ${pool.leader ?? 'nobody'}: holds ${pool.slotsHeld} slots, ${pool.slotsBusy} busy, ${pool.waiting} waiting`)
    for (const [vm, state] of Object.entries(pool.vms)) print(`  vm ${vm} ${state}`)
  }
  for (const line of status.waves.flatMap(formatWaveStatus)) print(line)
  for (const [series, latency] of Object.entries(status.latencies)) print(`${series} count ${latency.count} p50 ${latency.p50Ms} ms p99 ${latency.p99Ms} ms`)
}
