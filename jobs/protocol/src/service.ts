import type { Job, JobConfig, JobState } from '@wisteriaslip/jobs.model'
import type { Delta } from '@wisteriaslip/store.mirror'
import type { RelayRequest, RelayReply } from '@wisteriaslip/peers.protocol'

/** Notifies the leader of a service of an accepted job. */
export interface JobNotification {
  readonly job: Job
}

/** A leader's reply to a query for a job's state; `not-leader` when the entry does not lead the service. */
export type JobStateReply =
  /**
   * `account` is whose job it is, `queue` and `address` where it was submitted; entries of earlier versions name none, nor an address for
   * jobs that earlier versions have stored.
   */
  | { readonly kind: 'known', readonly state: JobState } & Partial<Pick<Job, 'account' | 'queue' | 'address'>>
  | { readonly kind: 'unknown' }
  | { readonly kind: 'not-leader' }

/** Load of a worker as the leader of its service tracks it. */
export interface WorkerLoad {
  readonly worker: string
  readonly vm: string
  readonly cpuShare: number
  readonly runs: number
  readonly lastingRuns: number
  /** Milliseconds for which it has had no runs; 0 while it has some. */
  readonly emptyMs: number
  readonly withdrawn: boolean
  /** Whether it responds and, unless it is withdrawn, accepts runs. */
  readonly usable: boolean
  /** What the worker says of its size, which may be less than its VM's for a while; undefined from entries of earlier versions. */
  readonly capacity?: { readonly cpu: number, readonly memMb: number } | undefined
}

/** Load and demand of a service. */
export interface ServiceLoad {
  readonly kind: 'load'
  readonly workers: readonly WorkerLoad[]
  /** Processor demand of all running and waiting tasks, in thousandths of a core. */
  readonly wantedCpu: number
  /** Memory demand of all running and waiting tasks, in MB. */
  readonly wantedMemMb: number
  /**
   * The same without waiting and expected tasks of jobs beyond the weights of their client accounts; undefined if there are no accounts,
   * and from entries of earlier versions.
   */
  readonly owed?: { readonly cpu: number, readonly memMb: number } | undefined
  /** Minimum number of workers that satisfies the limits on tasks of one step per worker. */
  readonly leastWorkers: number
}

/** A leader's reply to the withdrawal of workers: those that are already drained, and the token of its term, which earlier versions don't name. */
export type WithdrawReply =
  | { readonly kind: 'withdrawn', readonly empty: readonly string[], readonly token?: number | undefined }
  | { readonly kind: 'not-leader' }

/** Jobs of a queue that have not started, as far as the entry leads services that have some. */
export interface PendingReply {
  /** Those of the service that the queue has now; undefined if the entry doesn't lead it, or has not loaded its records. */
  readonly pending: number | undefined
  /** Those of other services, which the queue had before. */
  readonly elsewhere?: number | undefined
}

/** A request to explain the state of a job, worker, pool or wave. */
export interface ExplainRequest {
  readonly kind: 'job' | 'worker' | 'pool' | 'wave'
  readonly name: string
}

/** Explanation of an object, or why there is none. */
export type ExplainResult =
  | { readonly kind: 'explained', readonly explanation: unknown }
  /** No leader that replies tracks the object. */
  | { readonly kind: 'untracked' }
  /** The object is a wave that is not declared. */
  | { readonly kind: 'undeclared' }

/** State that an entry shares with its peers. */
export interface PeerState {
  readonly incarnation: string
  readonly storeAvailable: boolean
  readonly delta?: Delta | undefined
  /** Version of the entry's configuration, -1 for none. */
  readonly configVersion: number
  /** The entry's configuration; only when it was requested and is newer than the caller's. */
  readonly config?: JobConfig | undefined
}

/** Procedures that an entry serves to its peers. */
export interface JobPeerService {
  /** Exchanges state; a caller that passes `configVersion` also gets the configuration if this entry has a newer one. */
  sync (req: { from: string, revision: number, configVersion?: number | undefined }): Promise<PeerState>
  push (req: JobNotification): Promise<{ taken: boolean }>
  cancelled (req: { service: string, id: string }): Promise<{ taken: boolean }>
  state (req: { service: string, id: string }): Promise<JobStateReply>
  /** Counts jobs of a queue that have not started. Entries of earlier versions name no address, and count no jobs of other services. */
  pending (req: { service: string, queue: string, address?: string | undefined }): Promise<PendingReply>
  load (req: { service: string }): Promise<ServiceLoad | { kind: 'not-leader' }>
  /** Withdraws workers for the fleet's leader, whose term has the token `fleetToken`; entries of earlier versions name none. */
  withdraw (req: { service: string, vms: readonly string[], fleetToken?: number | undefined }): Promise<WithdrawReply>
  /** @returns the explanation; `told` is undefined when this entry does not lead or does not track the object */
  explain (req: ExplainRequest): Promise<{ told: unknown }>
  relay (req: RelayRequest): Promise<RelayReply>
}
