import type { JobPeerService } from '@wisteriaslip/jobs.protocol'
import type { PeerCaller } from '@wisteriaslip/peers.protocol'

/** Connects an entry to its peers, in both directions. */
export interface PeerPort extends PeerCaller<JobPeerService> {
  /**
   * Begins to serve the peers of this entry.
   * @param service - what it provides to them
   * @returns function that ends this, also for calls in progress
   * @throws when the entry's address cannot be used
   */
  serve (service: JobPeerService): Promise<() => void>
}
