import { createServer, type IncomingMessage, type Server } from 'node:http'
import type { AnyTRPCRouter } from '@trpc/server'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { hasValidKey } from '@wisteriaslip/core.auth'

const MAX_BODY_BYTES = 64 * 1024 * 1024

/** Options of {@link createPeerServer}. */
export interface PeerServerOpts {
  /** Key that peers must send; undefined in trials without keys. */
  readonly key: string | undefined
  /** Called after each response except 401, with the bytes received and sent on that connection since the last call. */
  readonly onBytes: (received: number, sent: number) => void
}

/**
 * Creates the HTTP server on which peers call this entry.
 * @param router - tRPC router of the service that this entry provides to its peers
 * @param opts - key and byte counter
 * @returns server that is not listening yet
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

const countedBytes = new WeakMap<object, { received: number, sent: number }>()

function countBytes (req: IncomingMessage, onBytes: PeerServerOpts['onBytes']): void {
  const { bytesRead, bytesWritten } = req.socket
  const previous = countedBytes.get(req.socket) ?? { received: 0, sent: 0 }
  countedBytes.set(req.socket, { received: bytesRead, sent: bytesWritten })
  onBytes(bytesRead - previous.received, bytesWritten - previous.sent)
}
