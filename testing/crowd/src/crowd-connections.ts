import { connect, type Socket } from 'node:net'
import { delay } from '@wisteriaslip/core.result'

const POLL_INTERVAL_MS = 50
const NEVER_ABORTED = new AbortController().signal

/** What each connection of a crowd sends before it stops, and stays open. */
export interface Crowd {
  readonly connections: number
  readonly bytes: Buffer
}

/** Connections of a crowd: each sends its bytes, reads nothing and stays open. */
export class CrowdConnections {
  private readonly sockets: Socket[] = []
  private unsent = 0

  /**
   * Opens the connections and sends.
   * @param at - address of the process
   * @param crowd - number of connections and what they send
   */
  constructor (at: { readonly host: string, readonly port: number }, { connections, bytes }: Crowd) {
    this.unsent = connections
    for (let index = 0; index < connections; index++) {
      const socket = connect({ host: at.host, port: at.port })
      let sending = true
      const stop = (): void => {
        if (sending) this.unsent -= 1
        sending = false
      }
      socket.on('error', () => {})
      socket.once('close', stop)
      socket.once('connect', () => { socket.write(bytes, stop) })
      socket.pause()
      this.sockets.push(socket)
    }
  }

  /**
   * Waits until each connection has sent everything or was closed.
   * @param atMostMs - longest wait in milliseconds
   * @param onPoll - called meanwhile
   */
  async sent (atMostMs: number, onPoll: () => void): Promise<void> {
    const until = performance.now() + atMostMs
    while (this.unsent > 0 && performance.now() < until) {
      onPoll()
      await delay(POLL_INTERVAL_MS, NEVER_ABORTED)
    }
  }

  /** Closes all connections. */
  close (): void {
    for (const socket of this.sockets) socket.destroy()
  }
}
