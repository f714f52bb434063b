/**
 * What entries say to each other about jobs, over tRPC.
 * @module
 */
export { createJobRouter } from './router.ts'
export type { ExplainRequest, JobPeerService, JobNotification, PeerState, ServiceLoad, JobStateReply, WithdrawReply, WorkerLoad } from './service.ts'
