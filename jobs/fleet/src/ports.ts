import type { Clock } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import type { Metrics } from '@wisteriaslip/core.metrics'
import type { FleetClient, JobConfig, Wave } from '@wisteriaslip/jobs.model'
import type { ServiceLoad, WithdrawReply } from '@wisteriaslip/jobs.protocol'

/** Calls from the fleet leader to the leaders of services. Results are undefined if a leader is unavailable. */
export interface ServiceLeaderClient {
  /** @returns fencing token of the service's leader as this entry sees it, 0 for none */
  token (service: string): number
  /** @returns load of the service */
  load (service: string): Promise<ServiceLoad | undefined>
  /** Drains the workers on the given VMs for the term with the token; all other workers accept runs again. */
  withdraw (service: string, vms: readonly string[], fleetToken: number): Promise<WithdrawReply | undefined>
}

/** How far the turns of a wave's drains are. Time only goes on, so that these durations are lower bounds for the next leader. */
export interface TurnTimes {
  /** Drains of VMs with long-running tasks that come no closer to their ends: for how long, and the fewest such tasks there. */
  readonly drains: ReadonlyArray<{ readonly vm: string, readonly waitedMs: number, readonly lastingRuns: number }>
  /** VMs whose drains were given back, and the milliseconds since then. */
  readonly rests: ReadonlyArray<{ readonly vm: string, readonly restedMs: number }>
}

/** Progress of a wave that the next leader resumes from. */
export interface WaveRecord {
  /** Revisions of the wave's document that the record is about, see {@link Wave}; undefined in records of older versions. */
  readonly createRevision: number | undefined
  readonly revision: number | undefined
  /** Ids of the VMs whose maintenance for this wave the platform has confirmed. */
  readonly begun: readonly string[]
  /** Ids of the VMs for which a request is being sent, or had no response. Recorded before the request is sent. */
  readonly requested: readonly string[]
  /** Ids of the VMs that no longer existed. */
  readonly gone: readonly string[]
  readonly completed: boolean
  /** Whether the completion has been reported to operators. */
  readonly reported: boolean
  /** Turns of its drains, at most some seconds before; undefined if none waits or rests, and in records of older versions. */
  readonly turns?: TurnTimes | undefined
  /** Milliseconds since the wave was first seen, as of `at`. */
  readonly elapsedMs: number
  /** Unix time of this record in milliseconds. */
  readonly at: number
}

/** Durable records of waves. */
export interface WaveRecordStore {
  /** @returns records by wave number, undefined if they cannot be read */
  read (): Promise<ReadonlyMap<number, WaveRecord> | undefined>
  /** @returns whether the records were written */
  write (records: ReadonlyMap<number, WaveRecord>): Promise<boolean>
}

/** Options of a fleet leader's term: the dependencies that the entry provides. */
export interface FleetTermOpts {
  /** Fencing token of the term. */
  readonly token: number
  /** @returns whether this entry certainly still leads the fleet in this term */
  readonly isLeader: () => boolean
  readonly fleetClient: FleetClient
  readonly services: ServiceLeaderClient
  readonly waves: () => readonly Wave[]
  readonly config: () => JobConfig | undefined
  readonly waveRecords: WaveRecordStore
  /** @returns whether the state of the wave was written; not if this entry no longer leads or the document has changed */
  readonly writeStatus: (wave: Wave, completed: boolean) => Promise<boolean>
  /** Duration of one VM's maintenance, in milliseconds. */
  readonly maintenanceMs: number
  readonly clock: Clock
  /** @returns Unix time in milliseconds */
  readonly wallClock: () => number
  readonly logger: Logger
  readonly metrics: Metrics
}
