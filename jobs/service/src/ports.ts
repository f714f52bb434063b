import type { Clock } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import type { Metrics } from '@wisteriaslip/core.metrics'
import type { JobLimits, PermitClient, Vm, WorkerClient, WorkerRegistration } from '@wisteriaslip/jobs.model'
import type { QueueLookup } from '@wisteriaslip/jobs.scheduler'
import type { JobRecords } from '@wisteriaslip/jobs.store'
import type { Guard, Store } from '@wisteriaslip/store.client'

/** What a term needs of the entry. */
export interface ServiceTermOpts {
  readonly service: string
  readonly token: number
  /** Holds as long as this entry leads the service in this term. */
  readonly guard: Guard
  readonly store: Store
  readonly records: JobRecords
  readonly workerClient: WorkerClient
  readonly permitClient: PermitClient | undefined
  /** @returns the service's workers as registered, undefined while that is not known */
  readonly registeredWorkers: () => readonly WorkerRegistration[] | undefined
  /** @returns the platform's list of VMs, undefined when it cannot be had */
  readonly vms: (signal: AbortSignal) => Promise<readonly Vm[] | undefined>
  readonly queue: QueueLookup
  readonly limits: JobLimits
  readonly clock: Clock
  /** @returns Unix milliseconds */
  readonly wallClock: () => number
  readonly logger: Logger
  readonly metrics: Metrics
}
