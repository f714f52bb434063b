import { connect, createServer, type Server, type Socket } from 'node:net'

/** Passes TCP connections on to a port, until it is cut: then connections stay open and say nothing. */
export class Forwarder {
  readonly server: Server
  private readonly sockets = new Set<Socket>()
  private cut = false

  /** @param port - on loopback, to pass connections on to */
  constructor (port: number) {
    this.server = createServer(socket => {
      const onward = connect(port, '127.0.0.1')
      for (const each of [socket, onward]) {
        this.sockets.add(each)
        each.on('error', () => {})
        each.on('close', () => {
          this.sockets.delete(each)
          socket.destroy()
          onward.destroy()
        })
      }
      socket.pipe(onward)
      onward.pipe(socket)
      if (this.cut) this.hold()
    })
  }

  /** @param cut - whether nothing passes any more */
  setCut (cut: boolean): void {
    this.cut = cut
    if (cut) this.hold()
    else for (const socket of this.sockets) socket.destroy()
  }

  private hold (): void {
    for (const socket of this.sockets) {
      socket.unpipe()
      socket.pause()
    }
  }
}
