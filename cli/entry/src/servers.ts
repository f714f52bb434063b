import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Address } from '@wisteriaslip/config.settings'
import type { Gateway } from '@wisteriaslip/routing.gateway'

const HEADERS_TIMEOUT_MS = 5_000
const KEEP_ALIVE_MS = 30_000
const MAX_HEADER_BYTES = 16 * 1024

/**
 * HTTP server for callers.
 * @param gateway - serves the requests
 * @returns a server that does not listen yet
 */
export function createCallerServer (gateway: Gateway): Server {
  const opts = { maxHeaderSize: MAX_HEADER_BYTES, headersTimeout: HEADERS_TIMEOUT_MS, keepAliveTimeout: KEEP_ALIVE_MS, noDelay: true }
  return createServer(opts, (req, res) => {
    gateway.handle(req, res).catch(() => res.destroy())
  })
}

/**
 * Starts listening.
 * @param server - to listen
 * @param address - where; port 0 takes any free one
 * @returns where it listens
 */
export async function listen (server: Server, address: Address): Promise<Address> {
  return await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(address.port, address.host, () => {
      server.removeListener('error', reject)
      const bound = server.address() as AddressInfo
      resolve({ host: bound.address, port: bound.port })
    })
  })
}

/**
 * Stops listening and closes idle connections.
 * @param server - to close
 */
export function stopListening (server: Server): void {
  server.close()
  server.closeIdleConnections()
}
