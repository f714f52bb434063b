import type { Job, JobConfig, JobState } from '@wisteriaslip/jobs.model'
import type { Delta } from '@wisteriaslip/store.mirror'
import type { RelayRequest, RelayReply } from '@wisteriaslip/peers.protocol'

/** Tells the leader of a service about an accepted job. */
export interface JobNotification {
  readonly job: Job
}

/** A leader's answer to a question about a job; `not-leader` when the entry does not lead the service. */
export type JobStateReply =
  | { readonly kind: 'known', readonly state: JobState }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'not-leader' }

/** How a worker stands, as its service's leader sees it. */
export interface WorkerLoad {
  readonly worker: string
  readonly vm: string
  readonly cpuShare: number
  readonly runs: number
  readonly lastingRuns: number
  /** Milliseconds since it had anything to do; 0 while it has. */
  readonly emptyMs: number
  readonly withdrawn: boolean
  /** It answers, and takes work unless it is withdrawn. */
  readonly usable: boolean
}

/** How a service stands. */
export interface ServiceLoad {
  readonly kind: 'load'
  readonly workers: readonly WorkerLoad[]
  /** Processor capacity that all that runs or waits wants, in thousandths of a core. */
  readonly wantedCpu: number
  /** Memory that all that runs or waits wants, in MB. */
  readonly wantedMemMb: number
  /** Workers that it takes at least to keep tasks of one step apart as asked. */
  readonly leastWorkers: number
}

/** A leader's answer to the order to empty workers: those that are empty now. */
export type WithdrawReply =
  | { readonly kind: 'withdrawn', readonly empty: readonly string[] }
  | { readonly kind: 'not-leader' }

/** A question why something is as it is. */
export interface ExplainRequest {
  readonly kind: 'job' | 'worker' | 'pool' | 'wave'
  readonly name: string
}

/** What an entry knows, for its peers. */
export interface PeerState {
  readonly incarnation: string
  readonly storeAvailable: boolean
  readonly delta?: Delta | undefined
  /** Version of its configuration, -1 for none. */
  readonly configVersion: number
  /** Its configuration, if newer than the caller's, and asked for. */
  readonly config?: JobConfig | undefined
}

/** What an entry does for its peers. */
export interface JobPeerService {
  /** `configVersion` is given by an entry that wants the configuration if this one has a newer one. */
  sync (req: { from: string, revision: number, configVersion?: number | undefined }): Promise<PeerState>
  push (req: JobNotification): Promise<{ taken: boolean }>
  cancelled (req: { service: string, id: string }): Promise<{ taken: boolean }>
  state (req: { service: string, id: string }): Promise<JobStateReply>
  pending (req: { service: string, queue: string }): Promise<{ pending: number | undefined }>
  load (req: { service: string }): Promise<ServiceLoad | { kind: 'not-leader' }>
  withdraw (req: { service: string, vms: readonly string[] }): Promise<WithdrawReply>
  /** @returns how something stands; nothing when this entry does not lead it or does not know it */
  explain (req: ExplainRequest): Promise<{ told: unknown }>
  relay (req: RelayRequest): Promise<RelayReply>
}
