import { createServer, type Server } from 'node:net'

/** The range lies below the ephemeral ports, which the operating system assigns to outgoing connections. */
const FIRST_PORT = 12_000
const PORTS_PER_BLOCK = 200
const BLOCKS = 95

let blocksTried = 0
/** Ports of the claimed block that have not been looked at. */
let nextPort = 0
let endPort = 0

/**
 * Finds free ports that stay free until they are used: the operating system does not assign them to outgoing connections, and
 * no other test process looks for ports in the same block, also while nobody listens on a port because its owner restarts.
 * @param count - number of ports
 * @returns free loopback ports
 * @throws when other processes have claimed all blocks
 */
export async function freePorts (count: number): Promise<number[]> {
  const ports: number[] = []
  while (ports.length < count) {
    if (nextPort >= endPort) await claimBlock()
    const port = nextPort
    nextPort += 1
    if (await isFree(port)) ports.push(port)
  }
  return ports
}

/** Claims a block by listening on its first port for as long as this process runs. */
async function claimBlock (): Promise<void> {
  while (blocksTried < BLOCKS) {
    const firstPort = FIRST_PORT + (process.pid + blocksTried) % BLOCKS * PORTS_PER_BLOCK
    blocksTried += 1
    const claim = await listen(firstPort)
    if (claim === undefined) continue
    claim.unref()
    nextPort = firstPort + 1
    endPort = firstPort + PORTS_PER_BLOCK
    return
  }
  throw new Error('other processes have claimed all blocks of ports')
}

async function isFree (port: number): Promise<boolean> {
  const server = await listen(port)
  if (server === undefined) return false
  await new Promise<void>(resolve => server.close(() => resolve()))
  return true
}

/** Returns a server that listens on the port, undefined if the port is taken. */
async function listen (port: number): Promise<Server | undefined> {
  const server = createServer()
  return await new Promise(resolve => {
    server.once('error', () => resolve(undefined))
    server.listen(port, '127.0.0.1', () => resolve(server))
  })
}
