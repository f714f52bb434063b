import { startJsonServer } from './http.mjs'

const PAGE_ITEMS = 500
const PAGE_BYTES = 1_000_000
const MAX_ENTRIES = 32
const MAX_KEY_BYTES = 200

/**
 * Stand-in for the platform's store. Each entry gets an address of its own, so that a fault can be limited to one machine.
 * `modes` holds the fault of an address: `ok`, `busy` (503), `silent` (no answer, nothing done).
 */
export class Store {
  items = new Map()
  revision = 100
  events = []
  leases = new Map()
  modes = new Map()
  /** Milliseconds by which the answers at an address are late. */
  delays = new Map()
  writes = 0
  refused = []
  #servers = []
  #watchers = new Set()
  #nextLease = 70_000
  #valueBytes = 1_048_576

  /** Opens one more address; returns it. */
  async open () {
    const server = await startJsonServer(async call => await this.#handle(server.address, call))
    const { address } = server
    this.modes.set(address, 'ok')
    this.#servers.push({ address, server })
    return address
  }

  /** Sets the fault of the addresses; open watches there are cut. */
  fault (mode, addresses = [...this.modes.keys()]) {
    for (const address of addresses) {
      this.modes.set(address, mode)
      if (mode !== 'ok') for (const watcher of [...this.#watchers]) if (watcher.address === address) watcher.cut()
    }
  }

  close () {
    for (const { server } of this.#servers) server.close()
    for (const lease of this.leases.values()) clearTimeout(lease.timer)
  }

  /** Writes as operator or executor. */
  put (key, value) {
    this.#apply([{ key, value: Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64') }], [])
  }

  remove (key) {
    if (this.items.has(key)) this.#apply([], [key])
  }

  read (key) {
    const item = this.items.get(key)
    return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, 'base64').toString())
  }

  async #handle (address, call) {
    const mode = this.modes.get(address)
    if (mode === 'busy') return { status: 503, body: {} }
    if (mode === 'silent') return undefined
    const answer = await this.#route(address, call)
    const delayMs = this.delays.get(address) ?? 0
    if (delayMs > 0) await new Promise(resolve => setTimeout(resolve, delayMs))
    return this.modes.get(address) === 'silent' ? undefined : answer
  }

  async #route (address, call) {
    const { method, path, query, body } = call
    if (method === 'GET' && path === '/-/kv-key') {
      const item = this.items.get(query.get('key'))
      return item === undefined ? { status: 404, body: { at: this.revision } } : { status: 200, body: { ...item, at: this.revision } }
    }
    if (method === 'GET' && path === '/-/kv-range') return this.#range(query)
    if (method === 'GET' && path === '/-/kv-watch') return await this.#watch(address, call)
    if (method === 'POST' && path === '/-/kv-txn') return this.#txn(body)
    if (method === 'POST' && path === '/-/kv-lease') {
      const id = this.#nextLease++
      const ttlMs = Math.max(1_000, body.ttlMs)
      this.leases.set(id, { ttlMs, keys: new Set(), timer: undefined })
      this.#renew(id)
      return { status: 200, body: { lease: id, ttlMs } }
    }
    const [, verb, id] = /^\/-\/(kv-keep|kv-lease-end)\/(\d+)$/.exec(path) ?? []
    if (verb === undefined) return { status: 400, body: {} }
    const lease = this.leases.get(Number(id))
    if (lease === undefined) return { status: 404, body: {} }
    if (verb === 'kv-keep') this.#renew(Number(id))
    else this.#endLease(Number(id))
    return { status: 200, body: { ttlMs: lease.ttlMs } }
  }

  #range (query) {
    const prefix = query.get('prefix') ?? ''
    const after = query.get('after') ?? ''
    const keys = [...this.items.keys()].filter(key => key.startsWith(prefix) && key > after).sort()
    const items = []
    let bytes = 0
    for (const key of keys) {
      const item = this.items.get(key)
      if (items.length >= PAGE_ITEMS || (items.length > 0 && bytes + item.value.length > PAGE_BYTES)) break
      items.push(item)
      bytes += item.value.length
    }
    return { status: 200, body: { items, hasMore: items.length < keys.length, at: this.revision } }
  }

  async #watch (address, call) {
    const prefix = call.query.get('prefix') ?? ''
    const after = Number(call.query.get('after'))
    const waitMs = Number(call.query.get('waitMs'))
    const found = () => this.events.filter(event => event.revision > after && event.key.startsWith(prefix))
    let events = found()
    if (events.length === 0 && waitMs > 0) {
      const cut = await new Promise(resolve => {
        const watcher = { address, prefix, cut: () => done(true), notify: () => done(false) }
        const timer = setTimeout(() => done(false), waitMs)
        const done = wasCut => { clearTimeout(timer); this.#watchers.delete(watcher); resolve(wasCut) }
        call.onClose = () => done(true)
        this.#watchers.add(watcher)
      })
      if (cut) return undefined
      events = found()
    }
    return { status: 200, body: { events, at: this.revision } }
  }

  #txn ({ expected = [], setKeys = [], remove = [] }) {
    const tooLarge = setKeys.some(({ key, value }) => Buffer.byteLength(key) > MAX_KEY_BYTES || Buffer.from(value, 'base64').length > this.#valueBytes)
    if (expected.length + setKeys.length + remove.length > MAX_ENTRIES || tooLarge) {
      this.refused.push(setKeys.map(({ key, value }) => `${key} (${value.length})`).join(' '))
      return { status: 400, body: {} }
    }
    if ([...setKeys.map(({ key }) => key), ...remove].some(key => key.startsWith('op/') || key.startsWith('servers/'))) return { status: 403, body: {} }
    if (setKeys.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) return { status: 404, body: {} }
    if (expected.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) {
      return { status: 412, body: { items: expected.flatMap(({ key }) => this.items.get(key) ?? []) } }
    }
    this.writes += 1
    this.#apply(setKeys, remove)
    return { status: 200, body: { revision: this.revision } }
  }

  #apply (setKeys, remove) {
    this.revision += 1
    const { revision } = this
    for (const { key, value, lease = 0 } of setKeys) {
      const before = this.items.get(key)
      if (before !== undefined && before.lease !== 0) this.leases.get(before.lease)?.keys.delete(key)
      const item = { key, value, revision, created: before?.created ?? revision, lease }
      this.items.set(key, item)
      if (lease !== 0) this.leases.get(lease).keys.add(key)
      this.events.push(item)
    }
    for (const key of remove) {
      if (this.items.delete(key)) this.events.push({ key, revision, deleted: true })
    }
    if (this.events.length > 50_000) this.events.splice(0, 10_000)
    for (const watcher of [...this.#watchers]) {
      if ([...setKeys.map(({ key }) => key), ...remove].some(key => key.startsWith(watcher.prefix))) watcher.notify()
    }
  }

  #renew (id) {
    const lease = this.leases.get(id)
    clearTimeout(lease.timer)
    lease.timer = setTimeout(() => this.#endLease(id), lease.ttlMs)
  }

  #endLease (id) {
    const lease = this.leases.get(id)
    if (lease === undefined) return
    clearTimeout(lease.timer)
    this.leases.delete(id)
    if (lease.keys.size > 0) this.#apply([], [...lease.keys])
  }
}
