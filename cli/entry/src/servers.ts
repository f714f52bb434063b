import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { guardServer, limitedServerOptions, type ClientLimits } from '@wisteriaslip/core.http-limits'
import type { Address } from '@wisteriaslip/config.settings'
import type { Gateway } from '@wisteriaslip/routing.gateway'

const HEADERS_TIMEOUT_MS = 5_000
const KEEP_ALIVE_TIMEOUT_MS = 30_000

/**
 * Creates the HTTP server for callers.
 * @param gateway - gateway that serves the requests
 * @param limits - limits on clients
 * @returns a server that is not listening yet
 */
export function createCallerServer (gateway: Gateway, limits: ClientLimits): Server {
  const opts = { ...limitedServerOptions, headersTimeout: HEADERS_TIMEOUT_MS, keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, noDelay: true }
  const server = createServer(opts, (req, res) => {
    gateway.handle(req, res).catch(() => res.destroy())
  })
  guardServer(server, limits)
  return server
}

/**
 * Starts listening on an address.
 * @param server - server to start
 * @param address - address to listen on; port 0 selects any free port
 * @returns the address that was bound
 * @throws when the server cannot listen on the address
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
 * @param server - server to stop
 */
export function stopListening (server: Server): void {
  server.close()
  server.closeIdleConnections()
}
