/**
 * The tRPC protocol between entries for jobs.
 * @module
 */
export { createJobRouter } from './router.ts'
export type { ExplainRequest, ExplainResult, JobPeerService, JobNotification, PeerState, PendingReply, ServiceLoad, JobStateReply, WithdrawReply, WorkerLoad } from './service.ts'
