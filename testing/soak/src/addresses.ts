import { createServer, type Server } from 'node:net'

const FIRST_NET = 20
const LAST_NET = 99
/** Third part of the addresses on which servers listen. */
const OWN_VIEW = 10
const FIRST_ENTRY_VIEW = 11
const FIRST_ENTRY_HOST = 20
const FIRST_WORKER_HOST = 100
const LOCK_PORT = 7_001

/** Ports of the servers of a site. */
export const ports = { store: 8_621, ready: 8_622, callers: 8_624, peers: 7_060, worker: 8_700 } as const

/**
 * Loopback addresses of one site, in a net of its own. Every server has one address on which it listens, and one for each
 * entry, on which a proxy of that entry listens. They differ in one part of equal length, so that a text with addresses of
 * one entry's view is turned into that of another by a replacement.
 */
export class Addresses {
  private readonly net: number
  private readonly lock: Server

  private constructor (net: number, lock: Server) {
    this.net = net
    this.lock = lock
  }

  /**
   * Takes a net that no other site on this machine uses.
   * @returns the addresses; release them with {@link Addresses.release}
   * @throws when all nets are taken
   */
  static async take (): Promise<Addresses> {
    for (let net = FIRST_NET; net <= LAST_NET; net++) {
      const lock = createServer()
      const taken = await new Promise<boolean>(resolve => {
        lock.once('error', () => resolve(false))
        lock.listen(LOCK_PORT, `127.${net}.${OWN_VIEW}.1`, () => resolve(true))
      })
      if (taken) return new Addresses(net, lock)
    }
    throw new Error('no free loopback net')
  }

  /** Makes the net available to other sites. */
  release (): void {
    this.lock.close()
  }

  /** Host numbers of the servers. */
  readonly hosts = {
    store: 2,
    vmList: 3,
    entry: (index: number): number => FIRST_ENTRY_HOST + index,
    worker: (index: number): number => FIRST_WORKER_HOST + index
  }

  /**
   * @param host - host number of a server
   * @param viewer - index of an entry for the address of its proxy; undefined for the address of the server
   * @returns the IP address
   */
  ip (host: number, viewer?: number): string {
    return this.viewPrefix(viewer) + String(host)
  }

  /**
   * @param viewer - index of an entry
   * @returns the IP address from which the proxies of the entry connect
   */
  sourceIp (viewer: number): string {
    return this.ip(1, viewer)
  }

  /**
   * @param ip - source address of a connection
   * @returns index of the entry, undefined for other sources
   */
  viewerOf (ip: string | undefined): number | undefined {
    const [, net, view, host] = (ip ?? '').split('.').map(Number)
    return net === this.net && host === 1 && view !== undefined && view >= FIRST_ENTRY_VIEW ? view - FIRST_ENTRY_VIEW : undefined
  }

  /**
   * @param viewer - index of an entry, undefined for the servers' own addresses
   * @returns the text with which all addresses of this view begin, and no others
   */
  viewPrefix (viewer?: number): string {
    return `127.${this.net}.${viewer === undefined ? OWN_VIEW : FIRST_ENTRY_VIEW + viewer}.`
  }
}
