import { createServer } from 'node:net'

/** Below the range from which the system takes ports for outgoing connections. */
const FIRST_PORT = 12_000
const LAST_PORT = 31_000
const PORTS_PER_PROCESS = 200

let next = FIRST_PORT + process.pid * PORTS_PER_PROCESS % (LAST_PORT - FIRST_PORT)

/**
 * Finds ports that nothing else takes meanwhile: not the system for outgoing connections, and not another test process
 * soon, as each starts its search elsewhere.
 * @param count - how many
 * @returns loopback ports that are free
 */
export async function freePorts (count: number): Promise<number[]> {
  const ports: number[] = []
  while (ports.length < count) {
    const port = next
    next = next + 1 > LAST_PORT ? FIRST_PORT : next + 1
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
