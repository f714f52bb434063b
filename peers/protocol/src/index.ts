/**
 * Protocol between entries, over tRPC.
 * @module
 */
export type { ClaimReply, ClaimRequest, ClaimSettlement, RecordedResponse, PeerService, PoolLoad, RelayRequest, RelayReply, SyncReply, SyncRequest } from './service.ts'
export { createPeerServer, type PeerServerOpts } from './server.ts'
export { PeerClients, type PeerAddress, type PeerCaller, type PeerError } from './client.ts'
export { RelayDriver, toRelayReply } from './relay-driver.ts'
export { createPeerRouter, type PeerRouter } from './router.ts'
