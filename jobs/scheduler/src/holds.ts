import { COMMAND_TIMEOUT_MS, LEADERSHIP_OVERLAP_MS, MAX_RESPONSE_AGE_FOR_LEASE_MS, POLL_TIMEOUT_MARGIN_MS, POLL_WAIT_IDLE_MS, WORKER_LEASE_MS } from '@wisteriaslip/jobs.model'
import { FAILURE_COOLDOWN_MS } from './failed-runs.ts'
import { MAX_CLOSED_MS, MAX_SETTLED_WAIT_MS, MAX_SUSPICION_WAIT_MS } from './isolation.ts'
import { FAILED_TASK_RETRY_DELAY_MS } from './job-table.ts'
import { NO_CAPACITY_COOLDOWN_MS, REFUSED_RETRY_DELAY_MS, UNHEALTHY_COOLDOWN_MS } from './scheduler.ts'
import { SLOW_WORKER_COOLDOWN_MS } from './slow-runs.ts'
import { UNKNOWN_ACCOUNT_WAIT_MS } from './start-limiter.ts'
import { MIN_CLOCK_RATE } from './tracked-worker.ts'
import { MAY_GO_DOWN_MS } from './withdrawn-room.ts'

/** What a hold belongs to: it ends for all tasks that it keeps at once. */
export const holdOwners = { task: 'task', step: 'step', job: 'job', worker: 'worker', term: 'term', service: 'service' } as const

/** One of {@link holdOwners}. */
export type HoldOwner = keyof typeof holdOwners

/** What ends a hold. */
export const holdEnds = {
  /** Its time is over. */
  time: 'time',
  /** A response or a report of a worker. */
  report: 'report',
  /** Proof that a worker has ended. */
  proof: 'proof',
  /** A record is read or written. */
  store: 'store',
  permitService: 'permitService',
  fleetLeader: 'fleetLeader',
  /** Other work ends, or capacity is added. */
  capacity: 'capacity',
  /** Nothing but another configuration or submission: it is meant so. */
  policy: 'policy'
} as const

/** One of {@link holdEnds}. */
export type HoldEnd = keyof typeof holdEnds

/** What the longest time of a hold depends on. */
export interface HoldTimes {
  /** Longest lease that a worker grants, in milliseconds. */
  readonly longestLeaseMs: number
  /** Longest lease that leaders of earlier terms may have granted, in milliseconds. */
  readonly maxEarlierLeaseMs: number
}

/** The longest time that a hold may last, or why it has none. */
export type LongestHold =
  | { readonly kind: 'bounded', readonly ms: (times: HoldTimes) => number, readonly lastingOnly?: true }
  | { readonly kind: 'unbounded', readonly why: string }

/** A reason why a task is not started, or may be started nowhere, and what becomes of it. */
export interface HoldKind {
  readonly owner: HoldOwner
  readonly ends: readonly HoldEnd[]
  readonly longest: LongestHold
  /** What operators look at. */
  readonly hint: string
}

const forLasting = (ms: number): LongestHold => ({ kind: 'bounded', ms: () => ms, lastingOnly: true })
const bounded = (ms: number | ((times: HoldTimes) => number)): LongestHold => ({ kind: 'bounded', ms: typeof ms === 'number' ? () => ms : ms })
const unbounded = (why: string): LongestHold => ({ kind: 'unbounded', why })

/** Until the leases of earlier leaders are over: the time for which a new leader may wait for workers that are silent. */
const earlierRunsMs = ({ maxEarlierLeaseMs }: HoldTimes): number => LEADERSHIP_OVERLAP_MS + maxEarlierLeaseMs
/** From the last response of a worker until all of its leases are over. */
const silentWorkerMs = ({ maxEarlierLeaseMs }: HoldTimes): number => (MAX_RESPONSE_AGE_FOR_LEASE_MS + Math.max(WORKER_LEASE_MS, maxEarlierLeaseMs)) / MIN_CLOCK_RATE
const LONGEST_COOLDOWN_MS = Math.max(FAILURE_COOLDOWN_MS, SLOW_WORKER_COOLDOWN_MS, UNHEALTHY_COOLDOWN_MS, NO_CAPACITY_COOLDOWN_MS)
const LONGEST_REST_MS = Math.max(FAILED_TASK_RETRY_DELAY_MS, REFUSED_RETRY_DELAY_MS)
const LONGEST_POLL_MS = POLL_WAIT_IDLE_MS + POLL_TIMEOUT_MARGIN_MS

/** Why tasks of a ready step are not started: the first reason of several. */
export const stepHolds = {
  EARLIER_LEADERS_WORKERS_SILENT: { owner: 'term', ends: ['report', 'proof', 'time'], longest: bounded(earlierRunsMs), hint: 'look for the workers of `tasks of earlier jobs wait`' },
  ACCOUNT_QUOTA: { owner: 'step', ends: ['capacity', 'store'], longest: unbounded('the account has in use what it may have'), hint: 'compare quota, part and elsewhere' },
  NO_USABLE_WORKER: { owner: 'step', ends: ['report', 'capacity'], longest: unbounded('the workers have holds of their own, which room lists'), hint: 'see the workers with `jobs explain worker`' },
  NO_WORKER_WITH_LABEL: { owner: 'step', ends: ['policy'], longest: unbounded('no worker has the label'), hint: 'add a worker with the label' },
  ONLY_WITHDRAWN_ROOM: { owner: 'step', ends: ['fleetLeader', 'time'], longest: forLasting(MAY_GO_DOWN_MS), hint: 'add room beside the VMs that are maintained' },
  NO_ROOM: { owner: 'step', ends: ['capacity'], longest: unbounded('all capacity is in use'), hint: 'add VMs to the pool' },
  NO_PERMIT: { owner: 'step', ends: ['permitService'], longest: unbounded('as long as the permit service answers no request; requests for all services of an entry go one after the other'), hint: 'look for `failed to request permits`' },
  SUSPECTED_OF_CRASHES: { owner: 'job', ends: ['time', 'report'], longest: bounded(MAX_SUSPICION_WAIT_MS), hint: 'look for `task isolated`, and at the crashes of the job' },
  UNSETTLED_OR_RESTING: { owner: 'step', ends: ['time', 'report'], longest: unbounded('it stands for the holds of the task, of its workers and of the term'), hint: 'see the other holds, `mayAct` and `freeStarts`' }
} as const satisfies Record<string, HoldKind>

/** What a client account's quota waits for, beside what is in use. */
export const quotaHolds = {
  QUOTA_NOT_READ: { owner: 'term', ends: ['store'], longest: unbounded('as long as the store does not list the parts'), hint: 'see `quota_failures_total`' },
  QUOTA_NOT_KNOWN: { owner: 'step', ends: ['store', 'time'], longest: bounded(UNKNOWN_ACCOUNT_WAIT_MS), hint: 'see whether the leader reads the quotas, and the configuration has the account' },
  QUOTA_OF_SILENT_WORKERS: { owner: 'term', ends: ['report', 'proof', 'time'], longest: bounded(times => Math.max(earlierRunsMs(times), silentWorkerMs(times))), hint: 'look for workers that are silent, or run tasks of jobs that are not stored' }
} as const satisfies Record<string, HoldKind>

/** What keeps one task, beside its step and its workers. */
export const taskHolds = {
  TASK_RESTS: { owner: 'task', ends: ['time'], longest: bounded(LONGEST_REST_MS), hint: 'look for `worker command failed`' },
  CRASHES_NOT_STORED: { owner: 'job', ends: ['store'], longest: unbounded('as long as the store takes no progress record of the job'), hint: 'look for `failed to write progress records`' }
} as const satisfies Record<string, HoldKind>

/** What keeps a task that has runs which may be in progress. */
export const runHolds = {
  START_IN_PROGRESS: { owner: 'task', ends: ['report', 'time'], longest: bounded(COMMAND_TIMEOUT_MS), hint: 'see whether the leader is held up' },
  START_UNANSWERED: { owner: 'task', ends: ['report'], longest: unbounded('only a stop that is acknowledged proves that the start never takes effect'), hint: 'look for `stop command sent` with `answered` false' },
  RUN_BEING_STOPPED: { owner: 'task', ends: ['report'], longest: unbounded('as long as the worker reports the run'), hint: 'see why the run does not end on its worker' },
  RUN_ON_SILENT_WORKER: { owner: 'worker', ends: ['report', 'proof', 'time'], longest: bounded(silentWorkerMs), hint: 'look for the VM of the worker' },
  RUN_OF_ENDED_INCARNATION: { owner: 'worker', ends: ['report', 'proof', 'time'], longest: bounded(({ longestLeaseMs }) => 2 * longestLeaseMs), hint: 'look for `unanswered starts released`' }
} as const satisfies Record<string, HoldKind>

/** Why a worker gets no starts at all: the first reason of several. */
export const workerHolds = {
  LIFE_ENDED: { owner: 'worker', ends: ['report'], longest: unbounded('until another incarnation is registered'), hint: 'look for the VM of the worker' },
  NOT_MET: { owner: 'worker', ends: ['report'], longest: unbounded('as long as the worker does not respond'), hint: 'see whether entries reach the worker' },
  NO_ANSWER: { owner: 'worker', ends: ['report'], longest: unbounded('as long as the worker does not respond'), hint: 'see whether entries reach the worker' },
  NO_COMMAND_CHANNEL: { owner: 'worker', ends: ['report'], longest: unbounded('as long as the worker responds on no second connection, or closes it'), hint: 'see what closes connections between entries and the worker' },
  LEASE_NOT_RECORDED: { owner: 'worker', ends: ['store'], longest: unbounded('as long as the store takes no term record'), hint: 'look for `failed to write term record`' },
  HAS_UNTRACKED_RUNS: { owner: 'worker', ends: ['report', 'store'], longest: unbounded('as long as the worker reports runs of jobs that are not stored or cannot be looked up'), hint: 'look for `stopping orphaned run`' },
  NOT_REGISTERED: { owner: 'worker', ends: ['report'], longest: unbounded('until the worker registers again'), hint: 'see whether the worker reaches the store' },
  DRAINING: { owner: 'worker', ends: ['policy'], longest: unbounded('the worker ends'), hint: 'none: it is replaced' },
  BEING_EMPTIED: { owner: 'worker', ends: ['fleetLeader', 'time'], longest: unbounded('as long as the fleet\'s leader asks for it'), hint: 'see `jobs explain wave`' },
  RESTS: { owner: 'worker', ends: ['time'], longest: bounded(LONGEST_COOLDOWN_MS), hint: 'look for `worker command failed`' },
  NO_CLOCK: { owner: 'worker', ends: ['report'], longest: unbounded('until the worker responds'), hint: 'see whether entries reach the worker' }
} as const satisfies Record<string, HoldKind>

/** Why a worker that gets starts, and has room for a task, does not get it: the first reason of several. */
export const roomHolds = {
  CLAIMED: { owner: 'worker', ends: ['time', 'fleetLeader'], longest: forLasting(MAY_GO_DOWN_MS), hint: 'none: a long-running task gets it' },
  NO_LABEL: { owner: 'worker', ends: ['policy'], longest: unbounded('the worker lacks the label'), hint: 'add a worker with the label' },
  PER_WORKER: { owner: 'worker', ends: ['capacity', 'policy'], longest: unbounded('it runs as many tasks of the step as one worker may'), hint: 'add workers' },
  REFUSED_BY_POLICY: { owner: 'worker', ends: ['permitService', 'policy'], longest: unbounded('as long as the policy does not allow it; it is asked again after half of the permits\' validity'), hint: 'see the policy of the queue' },
  CLOSED_BY_ISOLATED_RUN: { owner: 'worker', ends: ['time', 'report'], longest: bounded(MAX_CLOSED_MS + LONGEST_POLL_MS), hint: 'look for `task isolated`' },
  RESERVED_FOR_ANOTHER: { owner: 'worker', ends: ['time', 'capacity'], longest: forLasting(MAX_SETTLED_WAIT_MS), hint: 'add room for the task that it is kept for' }
} as const satisfies Record<string, HoldKind>

/** Why a term starts nothing. */
export const termHolds = {
  LEADERSHIP_NOT_CONFIRMED: { owner: 'term', ends: ['store', 'report'], longest: unbounded('as long as neither the store nor all members confirm the leader; then another one leads'), hint: 'look for `leadership is not confirmed`' },
  NO_FREE_STARTS: { owner: 'term', ends: ['report', 'time'], longest: unbounded('the starts in flight end in time, but others of higher priority may take their places'), hint: 'look for `leader held up`' }
} as const satisfies Record<string, HoldKind>

/** What a service lacks for a leader at work, as one entry sees it. */
export const serviceHolds = {
  NO_LEADER: { owner: 'service', ends: ['store'], longest: unbounded('until an entry has acquired the leadership in the store; of a service without queues, until it has one'), hint: 'look for `failed to acquire leadership`, `lease not granted`' },
  LEADER_IS_NO_MEMBER: { owner: 'service', ends: ['time', 'store'], longest: unbounded('until the lease of the entry has expired, and the store says so'), hint: 'look for the end of the entry' },
  TERM_NOT_BEGUN: { owner: 'service', ends: ['time'], longest: unbounded('until the entry looks at its leaderships again, which an election in progress delays'), hint: 'look for `term failed`' },
  EARLIER_TERM_ENDING: { owner: 'service', ends: ['store', 'time'], longest: unbounded('until the last records of the earlier term are written or given up'), hint: 'look for `failed to write progress records`' },
  RECORDS_NOT_READ: { owner: 'service', ends: ['store'], longest: unbounded('as long as the store cannot be read or does not take the term record'), hint: 'see `store_failures_total`' },
  TERM_ENDED: { owner: 'service', ends: ['store', 'time'], longest: unbounded('until the store has taken the end of the leadership, or its lease has expired'), hint: 'look for `leadership given up`' }
} as const satisfies Record<string, HoldKind>

/** All holds by their codes, which `explain`, the log and the metrics show: a code is never used for anything else. */
export const holds = { ...stepHolds, ...quotaHolds, ...taskHolds, ...runHolds, ...workerHolds, ...roomHolds, ...termHolds, ...serviceHolds } as const

/** Code of a hold. */
export type HoldCode = keyof typeof holds

/**
 * @param code - code of a hold
 * @param opts - `times`: what the longest time depends on; `isLasting`: it keeps a long-running task
 * @returns how long it may last at most, in milliseconds; undefined if there is no such time
 */
export function longestMsOf (code: HoldCode, { times, isLasting }: { times: HoldTimes, isLasting: boolean }): number | undefined {
  const { longest }: HoldKind = holds[code]
  if (longest.kind === 'unbounded' || (longest.lastingOnly === true && !isLasting)) return undefined
  return Math.round(longest.ms(times))
}
