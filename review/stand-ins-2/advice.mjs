import { delay, serveJson } from './http.mjs'

const MAX_WAITING = 32
const MAX_WORKERS = 100

/** Stand-in for the service that knows which executors may run a step: all may. It answers one call at a time, as all come from one machine. */
export class Advice {
  tickets = new Map()
  calls = []
  waiting = 0
  last = Promise.resolve()

  /**
   * @param host - loopback address
   * @param opts - `decisionMs`, `eachMs`, `validityMs`; `note` records calls and answers
   */
  static async start (host, opts) {
    const advice = new Advice()
    advice.host = host
    advice.opts = opts
    advice.server = await serveJson(host, req => advice.handle(req))
    return advice
  }

  get address () {
    return `${this.host}:${this.server.port}`
  }

  close () {
    this.server.close()
  }

  async handle ({ url, body }) {
    if (url.pathname !== '/-/advise' || body.workers.length > MAX_WORKERS) return { status: 400, body: {} }
    if (this.waiting >= MAX_WAITING) return { status: 429, body: {} }
    this.waiting += 1
    const answer = this.last.then(() => this.decide(body))
    this.last = answer
    return await answer
  }

  async decide ({ step, workers }) {
    const { decisionMs, eachMs, validityMs, note } = this.opts
    const ms = decisionMs + eachMs * workers.length
    this.waiting -= 1
    note(`advice: asked for step ${step} on ${workers.length} executors, which takes ${ms} ms`)
    await delay(ms)
    const allowed = workers.map(id => [id, `${step}-${id}`])
    for (const [id] of allowed) this.tickets.set(`${step} ${id}`, performance.now() + validityMs)
    note(`advice: answered for step ${step}`)
    return { status: 200, body: { allowed, validityMs } }
  }

  /** Returns whether a start carries a ticket of its step that is still valid. */
  isValid (task, id, ticket) {
    const step = task.slice(0, task.lastIndexOf('.'))
    return ticket === `${step}-${id}` && performance.now() < (this.tickets.get(`${step} ${id}`) ?? 0)
  }
}
