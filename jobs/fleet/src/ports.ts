import type { Clock } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import type { Metrics } from '@wisteriaslip/core.metrics'
import type { FleetClient, JobConfig, Wave } from '@wisteriaslip/jobs.model'
import type { ServiceLoad, WithdrawReply } from '@wisteriaslip/jobs.protocol'

/** Leaders of services, as the fleet leader sees them; undefined when one cannot be asked. */
export interface ServiceLeaderClient {
  load (service: string): Promise<ServiceLoad | undefined>
  withdraw (service: string, vms: readonly string[]): Promise<WithdrawReply | undefined>
}

/** What the next leader must know of a wave. */
export interface WaveRecord {
  /** VMs that have begun their maintenance. */
  readonly begun: readonly string[]
  readonly completed: boolean
  /** Milliseconds since the wave was first seen, and the Unix time in milliseconds at which that was so. */
  readonly elapsedMs: number
  readonly at: number
}

/** Durable records of waves. */
export interface WaveLedger {
  /** @returns records by number of the wave, undefined when they cannot be read now */
  read (): Promise<ReadonlyMap<number, WaveRecord> | undefined>
  /** @returns whether the records are written */
  write (records: ReadonlyMap<number, WaveRecord>): Promise<boolean>
}

/** What a fleet leader's term needs of the entry. */
export interface FleetTermOpts {
  readonly token: number
  /** @returns whether this entry surely still leads the fleet in this term */
  readonly isLeader: () => boolean
  readonly fleetClient: FleetClient
  readonly services: ServiceLeaderClient
  readonly waves: () => readonly Wave[]
  readonly config: () => JobConfig | undefined
  readonly ledger: WaveLedger
  /** @returns whether the status is written */
  readonly writeStatus: (wave: number, done: boolean) => Promise<boolean>
  /** How long a VM's maintenance takes, in milliseconds. */
  readonly maintenanceMs: number
  readonly clock: Clock
  /** @returns Unix milliseconds */
  readonly wallClock: () => number
  readonly logger: Logger
  readonly metrics: Metrics
}
