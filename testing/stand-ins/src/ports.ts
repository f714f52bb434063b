import { createServer, type AddressInfo } from 'node:net'

/**
 * @param count - how many
 * @returns loopback ports that were free a moment ago
 */
export async function freePorts (count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer())
  const ports = await Promise.all(servers.map(async server => await new Promise<number>(resolve => {
    server.listen(0, '127.0.0.1', () => resolve((server.address() as AddressInfo).port))
  })))
  await Promise.all(servers.map(async server => await new Promise(resolve => server.close(resolve))))
  return ports
}
