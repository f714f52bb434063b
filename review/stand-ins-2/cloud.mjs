import { serveJson } from './http.mjs'

/** Stand-in for the platform's interface for machines: lists them, and refuses all moves and upkeeps as busy unless told otherwise. */
export class Cloud {
  orders = []

  /**
   * @param host - loopback address
   * @param executors - executors whose machines are listed
   */
  static async start (host, executors) {
    const cloud = new Cloud()
    cloud.host = host
    cloud.executors = executors
    cloud.server = await serveJson(host, req => cloud.handle(req))
    return cloud
  }

  get address () {
    return `${this.host}:${this.server.port}`
  }

  close () {
    this.server.close()
  }

  handle ({ url, body, headers }) {
    if (url.pathname === '/-/machines') return { status: 200, body: { machines: this.executors.map(executor => this.row(executor)), nextToken: null } }
    this.orders.push({ path: url.pathname, ...body, holder: headers['wisteriaslip-lease-holder'], fence: headers['wisteriaslip-fencing-token'] })
    return { status: 409, body: { reason: 'busy' } }
  }

  row ({ opts, isUp }) {
    return { machine: opts.machine, pool: opts.service, state: isUp ? 'up' : 'down', zone: 'zone-a', labels: opts.labels, capacity: opts.capacity, id: opts.id }
  }
}
