import { createServer } from 'node:net'

/** The range lies below the ephemeral ports, which the operating system assigns to outgoing connections. */
const FIRST_PORT = 12_000
const LAST_PORT = 31_000
const PORTS_PER_PROCESS = 200

let nextPort = FIRST_PORT + process.pid * PORTS_PER_PROCESS % (LAST_PORT - FIRST_PORT)

/**
 * Finds free ports that are unlikely to be taken before they are used: the operating system does not assign them to
 * outgoing connections, and other test processes start their search at other ports.
 * @param count - number of ports
 * @returns free loopback ports
 */
export async function freePorts (count: number): Promise<number[]> {
  const ports: number[] = []
  while (ports.length < count) {
    const port = nextPort
    nextPort = nextPort + 1 > LAST_PORT ? FIRST_PORT : nextPort + 1
    if (await isFree(port)) ports.push(port)
  }
  return ports
}

async function isFree (port: number): Promise<boolean> {
  const server = createServer()
  return await new Promise(resolve => {
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}
