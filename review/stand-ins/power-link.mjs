import { connect, createServer } from 'node:net'

/**
 * The link to a machine that can lose power. While it is off, channels stay open and silent. When it is on again, new
 * channels reach the new life, and a channel of before is reset once something is sent on it; until then it stays silent.
 */
export class PowerLink {
  #target
  #channels = new Set()

  async start (target, host = '127.0.0.1') {
    this.#target = target
    this.server = createServer(socket => this.#accept(socket))
    await new Promise((resolve, reject) => { this.server.once('error', reject); this.server.listen(0, host, resolve) })
    this.address = `${host}:${this.server.address().port}`
  }

  powerOff () {
    this.#target = undefined
    for (const channel of this.#channels) this.#orphan(channel)
  }

  powerOn (target) {
    this.#target = target
    for (const channel of [...this.#channels]) if (channel.orphaned && channel.swallowed > 0) channel.socket.resetAndDestroy()
  }

  close () {
    this.server.close()
    for (const { socket, upstream } of this.#channels) { socket.destroy(); upstream?.destroy() }
  }

  #accept (socket) {
    const channel = { socket, upstream: undefined, orphaned: this.#target === undefined, swallowed: 0 }
    this.#channels.add(channel)
    socket.setNoDelay(true)
    socket.on('error', () => {})
    socket.on('close', () => { this.#channels.delete(channel); channel.upstream?.destroy() })
    if (this.#target !== undefined) {
      const [host, port] = this.#target.split(':')
      channel.upstream = connect({ host, port: Number(port), noDelay: true })
      channel.upstream.on('error', () => {})
      channel.upstream.on('data', data => { if (!channel.orphaned) socket.write(data) })
      channel.upstream.on('close', () => { if (!channel.orphaned) socket.destroy() })
    }
    socket.on('data', data => {
      if (!channel.orphaned) channel.upstream.write(data)
      else if (this.#target !== undefined) socket.resetAndDestroy()
      else channel.swallowed += data.length
    })
  }

  #orphan (channel) {
    channel.orphaned = true
    channel.upstream?.destroy()
  }
}
