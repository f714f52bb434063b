import { createServer, type IncomingMessage, type Server } from 'node:http'
import type { AnyTRPCRouter } from '@trpc/server'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { hasValidKey } from '@wisteriaslip/core.auth'

const MAX_BODY_BYTES = 64 * 1024 * 1024

/** Options of the peers' server. */
export interface PeerServerOpts {
  /** Key that peers must show; undefined in a trial. */
  readonly key: string | undefined
  /** Counts bytes received and sent by this server. */
  readonly onBytes: (received: number, sent: number) => void
}

/**
 * HTTP server on which peers call this entry.
 * @param router - over what this entry does for peers
 * @param opts - the peers' key
 * @returns a server that does not listen yet
 */
export function createPeerServer (router: AnyTRPCRouter, opts: PeerServerOpts): Server {
  const handler = createHTTPHandler({ router, maxBodySize: MAX_BODY_BYTES })
  const server = createServer((req, res) => {
    if (!hasValidKey(req, opts.key)) {
      res.writeHead(401, { 'content-type': 'application/json' })
      res.end(JSON.stringify({ code: 'PEER_KEY_WRONG' }))
      return
    }
    res.once('finish', () => countBytes(req, opts.onBytes))
    handler(req, res)
  })
  return server
}

const counted = new WeakMap<object, { received: number, sent: number }>()

function countBytes (req: IncomingMessage, onBytes: PeerServerOpts['onBytes']): void {
  const { bytesRead, bytesWritten } = req.socket
  const before = counted.get(req.socket) ?? { received: 0, sent: 0 }
  counted.set(req.socket, { received: bytesRead, sent: bytesWritten })
  onBytes(bytesRead - before.received, bytesWritten - before.sent)
}
