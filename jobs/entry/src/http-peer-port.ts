import type { Metrics } from '@wisteriaslip/core.metrics'
import { createJobRouter, type JobPeerService } from '@wisteriaslip/jobs.protocol'
import { createPeerServer, PeerClients, type PeerAddress } from '@wisteriaslip/peers.protocol'
import type { PeerPort } from './peer-port.ts'

/** Options of {@link HttpPeerPort}. */
export interface HttpPeerPortOpts {
  /** Where this entry listens. */
  readonly address: PeerAddress
  /** Key that authenticates entries to each other; undefined where the network does that. */
  readonly key: string | undefined
  readonly metrics: Metrics
}

/** Calls and serves peers with tRPC over HTTP. */
export class HttpPeerPort extends PeerClients<JobPeerService> implements PeerPort {
  private readonly server: HttpPeerPortOpts

  constructor (opts: HttpPeerPortOpts) {
    super(opts)
    this.server = opts
  }

  async serve (service: JobPeerService): Promise<() => void> {
    const { address, key, metrics } = this.server
    const onBytes = (received: number, sent: number): void => metrics.count('peer_bytes_total', {}, received + sent)
    const server = createPeerServer(createJobRouter(service), { key, onBytes })
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(address.port, address.host, resolve)
    })
    return () => {
      server.close()
      server.closeAllConnections()
    }
  }
}
