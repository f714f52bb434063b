/**
 * An entry process that serves jobs, composed of clients for the store, workers, VMs and peers.
 * @module
 */
export { INITIAL_ELECTION_DELAY_MS } from './election.ts'
export { createCallerServer, JobEntry, LONG_LEASE_TTL_MS, type JobEntryOpts, type JobEntryStatus } from './entry.ts'
export type { PeerPort } from './peer-port.ts'
export { SiteView } from './site-view.ts'
