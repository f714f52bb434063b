import { connect, createServer, type Server, type Socket } from 'node:net'

/** Forwards TCP connections to a port. While it is stalled, connections stay open and carry no data. */
export class TcpProxy {
  readonly server: Server
  private readonly sockets = new Set<Socket>()
  private stalled = false

  /** @param port - loopback port to forward connections to */
  constructor (port: number) {
    this.server = createServer(socket => {
      const upstream = connect(port, '127.0.0.1')
      for (const each of [socket, upstream]) {
        this.sockets.add(each)
        each.on('error', () => {})
        each.on('close', () => {
          this.sockets.delete(each)
          socket.destroy()
          upstream.destroy()
        })
      }
      socket.pipe(upstream)
      upstream.pipe(socket)
      if (this.stalled) this.pauseSockets()
    })
  }

  /**
   * Stalls all present and new connections, or closes the present ones so that clients can connect again.
   * @param stalled - whether connections carry no data
   */
  setStalled (stalled: boolean): void {
    this.stalled = stalled
    if (stalled) this.pauseSockets()
    else for (const socket of this.sockets) socket.destroy()
  }

  private pauseSockets (): void {
    for (const socket of this.sockets) {
      socket.unpipe()
      socket.pause()
    }
  }
}
