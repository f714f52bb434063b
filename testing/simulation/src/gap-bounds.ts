import { INITIAL_ELECTION_DELAY_MS, LONG_LEASE_TTL_MS } from '@wisteriaslip/jobs.entry'
import { LOSS_PROOF_MS } from '@wisteriaslip/jobs.scheduler'
import { CLOCK_DRIFT_FACTOR, LEADERSHIP_OVERLAP_MS, WORKER_LEASE_MS } from '@wisteriaslip/jobs.model'
import { RENEWALS_PER_TTL, TAKEOVER_DELAY_PER_RANK_MS } from '@wisteriaslip/peers.membership'
import type { RunGap } from './run-gaps.ts'

/** Until a renewal confirms that a leader has led for as long as it has waited, in milliseconds. */
const CONFIRMATION_MS = LONG_LEASE_TTL_MS / RENEWALS_PER_TTL
/** A whole wait for a silent worker in milliseconds: the leader before may still act, and the worker's lease has to expire on its clock. */
export const WHOLE_WAIT_MS = LEADERSHIP_OVERLAP_MS + WORKER_LEASE_MS * CLOCK_DRIFT_FACTOR + CONFIRMATION_MS
/** An election in milliseconds: the lease before expires, a process that has begun waits, and one that ranks before it may be away. */
export const ELECTION_MS = LONG_LEASE_TTL_MS + INITIAL_ELECTION_DELAY_MS + TAKEOVER_DELAY_PER_RANK_MS

/**
 * @param gap - a time without a run
 * @returns how long there may be room in it, in milliseconds: one whole wait, and an election and a proof for each change of leader or outage
 */
export function allowedRoomMs ({ changes, outages }: RunGap): number {
  return WHOLE_WAIT_MS + (changes + outages) * (ELECTION_MS + LOSS_PROOF_MS)
}

/**
 * @param gap - a time without a run
 * @returns how long a leader may be at work in it while there is room, in milliseconds: as above, without the elections
 */
export function allowedLedMs ({ changes, outages }: RunGap): number {
  return WHOLE_WAIT_MS + (changes + outages) * LOSS_PROOF_MS
}
