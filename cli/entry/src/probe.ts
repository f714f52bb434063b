import { connect } from 'node:net'

const PROBE_TIMEOUT_MS = 500

/**
 * @param address - address of a VM
 * @returns whether the VM accepts a connection
 */
export async function acceptsConnections (address: { readonly host: string, readonly port: number }): Promise<boolean> {
  return await openSocket(address).catch(() => false)
}

/** Rejects when no socket can be opened to the address at all, such as for a port out of range. */
async function openSocket (address: { readonly host: string, readonly port: number }): Promise<boolean> {
  return await new Promise(resolve => {
    const socket = connect({ host: address.host, port: address.port, timeout: PROBE_TIMEOUT_MS })
    const finish = (reachable: boolean): void => {
      socket.destroy()
      resolve(reachable)
    }
    socket.once('connect', () => finish(true))
    socket.once('error', () => finish(false))
    socket.once('timeout', () => finish(false))
  })
}
