import type { Clock } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import type { Metrics } from '@wisteriaslip/core.metrics'
import type { JobLimits, PermitClient, VmList, WorkerClient, WorkerRegistration } from '@wisteriaslip/jobs.model'
import type { AccountLookup, QueueLookup } from '@wisteriaslip/jobs.scheduler'
import type { JobRecords } from '@wisteriaslip/jobs.store'
import type { Guard, Store } from '@wisteriaslip/store.client'

/** Options of a service term: the dependencies that the entry provides. */
export interface ServiceTermOpts {
  readonly service: string
  /** Fencing token of the term. */
  readonly token: number
  /** Store condition that is true while this entry leads the service in this term. */
  readonly guard: Guard
  /** @returns latest time of the injected clock at which this entry was certainly the leader, negative infinity if there is none */
  readonly leadershipConfirmedAt: () => number
  readonly store: Store
  readonly records: JobRecords
  readonly workerClient: WorkerClient
  readonly permitClient: PermitClient | undefined
  /** @returns the service's workers from the registry, undefined while the registry has not been read */
  readonly registeredWorkers: () => readonly WorkerRegistration[] | undefined
  /** @returns the platform's list of VMs, undefined when it is unavailable or there is no VM platform client */
  readonly vms: (signal: AbortSignal) => Promise<VmList | undefined>
  readonly queue: QueueLookup
  /** Looks up client accounts; undefined where there are none, so that none has a quota. */
  readonly account?: AccountLookup | undefined
  /** @returns whether a client account in the newest configuration has a quota */
  readonly hasQuotas?: (() => boolean) | undefined
  readonly limits: JobLimits
  readonly clock: Clock
  /** @returns Unix time in milliseconds */
  readonly wallClock: () => number
  readonly logger: Logger
  readonly metrics: Metrics
}
