import { serveJson } from './http.mjs'

const PAGE_ITEMS = 500
const EXPIRY_CHECK_MS = 20

/** Stand-in for the platform's key-value store. */
export class Store {
  items = new Map()
  leases = new Map()
  history = []
  revision = 1
  waiting = new Set()
  lastLease = 1_000
  closed = false

  /** @param host - loopback address */
  static async start (host) {
    const store = new Store()
    store.host = host
    store.server = await serveJson(host, req => store.handle(req))
    store.timer = setInterval(() => store.expire(), EXPIRY_CHECK_MS)
    return store
  }

  get address () {
    return `${this.host}:${this.server.port}`
  }

  close () {
    clearInterval(this.timer)
    this.server.close()
  }

  /** Writes a key without a condition, as the operator and the executors do. */
  put (key, value) {
    this.apply([{ key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], [])
  }

  remove (key) {
    this.apply([], [key])
  }

  read (key) {
    const item = this.items.get(key)
    return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, 'base64').toString())
  }

  apply (puts, removed) {
    this.revision += 1
    const { revision } = this
    for (const { key, value, lease = 0 } of puts) {
      const item = { key, value, revision, created: this.items.get(key)?.created ?? revision, lease }
      this.items.set(key, item)
      this.history.push(item)
    }
    for (const key of removed) if (this.items.delete(key)) this.history.push({ key, revision, deleted: true })
    for (const wake of [...this.waiting]) wake()
    return revision
  }

  expire () {
    const now = performance.now()
    for (const [id, lease] of this.leases) if (now >= lease.until) this.end(id)
  }

  end (id) {
    this.leases.delete(id)
    const keys = [...this.items.values()].filter(item => item.lease === id).map(item => item.key)
    if (keys.length > 0) this.apply([], keys)
  }

  async handle ({ method, url, body }) {
    const path = url.pathname
    const query = url.searchParams
    if (path === '/-/kv-key') {
      const item = this.items.get(query.get('key'))
      return item === undefined ? { status: 404, body: {} } : { status: 200, body: { ...item, at: this.revision } }
    }
    if (path === '/-/kv-range') return { status: 200, body: this.range(query.get('prefix'), query.get('after') ?? '') }
    if (path === '/-/kv-watch') return { status: 200, body: await this.watch(query.get('prefix'), Number(query.get('after')), Number(query.get('waitMs'))) }
    if (path === '/-/kv-txn') return this.txn(body)
    if (path === '/-/kv-lease') {
      const id = ++this.lastLease
      this.leases.set(id, { ttlMs: body.ttlMs, until: performance.now() + body.ttlMs })
      return { status: 200, body: { lease: id, ttlMs: body.ttlMs } }
    }
    const id = Number(path.slice(path.lastIndexOf('/') + 1))
    const lease = this.leases.get(id)
    if (lease === undefined) return { status: 404, body: {} }
    if (method === 'DELETE') this.end(id)
    else lease.until = performance.now() + lease.ttlMs
    return { status: 200, body: { ttlMs: lease.ttlMs } }
  }

  range (prefix, after) {
    const found = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((a, b) => a.key < b.key ? -1 : 1)
    return { items: found.slice(0, PAGE_ITEMS), hasMore: found.length > PAGE_ITEMS, at: this.revision }
  }

  async watch (prefix, after, waitMs) {
    const events = () => this.history.filter(event => event.revision > after && event.key.startsWith(prefix))
    if (events().length === 0) {
      await new Promise(resolve => {
        const end = () => {
          clearTimeout(timer)
          this.waiting.delete(wake)
          resolve()
        }
        const wake = () => { if (events().length > 0) end() }
        const timer = setTimeout(end, waitMs)
        this.waiting.add(wake)
      })
    }
    return { events: events(), at: this.revision }
  }

  txn ({ expected = [], setKeys = [], remove = [] }) {
    if (expected.length + setKeys.length + remove.length > 32) return { status: 400, body: {} }
    const differs = expected.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)
    if (differs) return { status: 412, body: { items: expected.map(({ key }) => this.items.get(key)).filter(Boolean) } }
    if (setKeys.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) return { status: 404, body: {} }
    return { status: 200, body: { revision: this.apply(setKeys, remove) } }
  }
}
