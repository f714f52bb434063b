/**
 * Stand-in of the platform's metadata store, by the page PROTOCOL.md: keys with revisions, leases, a history for watches.
 */
import { createServer } from 'node:http'

const ANSWER_MS = 4
const HISTORY_MS = 20_000
const PAGE_ITEMS = 500
const MIN_TTL_MS = 1_000
const MAX_TTL_MS = 600_000
const MAX_TXN_ENTRIES = 32

/** Reads a request's whole body as JSON. */
export async function readJson (req) {
  const chunks = []
  for await (const chunk of req) chunks.push(chunk)
  const text = Buffer.concat(chunks).toString()
  return text === '' ? {} : JSON.parse(text)
}

/** Sends a JSON response. */
export function sendJson (res, status, body) {
  if (res.destroyed) return
  const text = body === undefined ? '' : JSON.stringify(body)
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  res.end(text)
}

export function sleep (ms) {
  return new Promise(resolve => setTimeout(resolve, ms))
}

/** Listens on an address; rejects if it is in use. */
export async function listen (server, port, host) {
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
}

export class Store {
  constructor () {
    this.revision = 1
    this.nextLease = 1
    this.items = new Map()
    this.leases = new Map()
    this.history = []
    this.waiting = new Set()
    /** Decides about a transaction of the system: undefined, or `{ lateMs }`: no answer, and carried out that much later. */
    this.fault = () => undefined
    this.server = createServer((req, res) => { this.handle(req, res).catch(() => res.destroy()) })
    this.server.keepAliveTimeout = 60_000
    this.timer = setInterval(() => this.expire(), 20)
  }

  close () {
    clearInterval(this.timer)
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Writes as the operator or an executor does. Returns the revision. */
  put (key, value) {
    return this.commit([], [{ key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], []).revision
  }

  delete (key) {
    if (this.items.has(key)) this.commit([], [], [key])
  }

  /** The value of a key as JSON, undefined if there is none. */
  json (key) {
    const item = this.items.get(key)
    return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, 'base64').toString())
  }

  commit (expected, setKeys, remove) {
    if (expected.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) return { status: 412 }
    if (setKeys.some(({ lease }) => (lease ?? 0) !== 0 && !this.leases.has(lease))) return { status: 404 }
    this.revision += 1
    const { revision } = this
    for (const { key, value, lease } of setKeys) {
      const item = { key, value, revision, created: this.items.get(key)?.created ?? revision, lease: lease ?? 0 }
      this.items.set(key, item)
      this.history.push({ at: performance.now(), key, revision, event: item })
    }
    for (const key of remove) {
      if (this.items.delete(key)) this.history.push({ at: performance.now(), key, revision, event: { key, revision, deleted: true } })
    }
    for (const wake of [...this.waiting]) wake()
    return { status: 200, revision }
  }

  expire () {
    const now = performance.now()
    for (const [id, lease] of [...this.leases]) if (lease.until < now) this.end(id)
    while (this.history.length > 0 && this.history[0].at < now - HISTORY_MS) this.history.shift()
  }

  end (id) {
    if (!this.leases.delete(id)) return false
    const keys = [...this.items.values()].filter(item => item.lease === id).map(item => item.key)
    if (keys.length > 0) this.commit([], [], keys)
    return true
  }

  async handle (req, res) {
    const url = new URL(req.url, 'http://store')
    const body = await readJson(req)
    const name = url.pathname.replace(/^\/-\//, '')
    if (name !== 'kv-watch') await sleep(ANSWER_MS)
    if (name === 'kv-key') {
      const item = this.items.get(url.searchParams.get('key'))
      return item === undefined ? sendJson(res, 404) : sendJson(res, 200, { ...item, at: this.revision })
    }
    if (name === 'kv-range') return this.range(url.searchParams, res)
    if (name === 'kv-watch') return await this.watch(url.searchParams, res)
    if (name === 'kv-txn') return this.txn(body, res)
    if (name === 'kv-lease') {
      const ttlMs = Math.min(MAX_TTL_MS, Math.max(MIN_TTL_MS, body.ttlMs))
      const lease = this.nextLease++
      this.leases.set(lease, { ttlMs, until: performance.now() + ttlMs })
      return sendJson(res, 200, { lease, ttlMs })
    }
    const id = Number(name.slice(name.lastIndexOf('/') + 1))
    if (name.startsWith('kv-keep/')) {
      const lease = this.leases.get(id)
      if (lease !== undefined) lease.until = performance.now() + lease.ttlMs
      return sendJson(res, lease === undefined ? 404 : 200, {})
    }
    if (name.startsWith('kv-lease-end/')) return sendJson(res, this.end(id) ? 200 : 404, {})
    sendJson(res, 404)
  }

  range (query, res) {
    const prefix = query.get('prefix') ?? ''
    const after = query.get('after') ?? ''
    const all = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((a, b) => a.key < b.key ? -1 : 1)
    sendJson(res, 200, { items: all.slice(0, PAGE_ITEMS), hasMore: all.length > PAGE_ITEMS, at: this.revision })
  }

  async watch (query, res) {
    const prefix = query.get('prefix') ?? ''
    const after = Number(query.get('after'))
    const until = performance.now() + Math.min(30_000, Number(query.get('waitMs') ?? 0))
    for (;;) {
      const oldest = this.history[0]
      if (after < this.revision && (oldest === undefined || after < oldest.revision - 1)) return sendJson(res, 410)
      const events = this.history.filter(each => each.revision > after && each.key.startsWith(prefix)).map(each => each.event)
      const leftMs = until - performance.now()
      if (events.length > 0 || leftMs <= 0 || res.destroyed) return sendJson(res, 200, { events, at: this.revision })
      await new Promise(resolve => {
        const done = () => {
          clearTimeout(timer)
          this.waiting.delete(done)
          resolve()
        }
        const timer = setTimeout(done, leftMs)
        this.waiting.add(done)
      })
    }
  }

  txn ({ expected = [], setKeys = [], remove = [] }, res) {
    if (expected.length + setKeys.length + remove.length > MAX_TXN_ENTRIES) return sendJson(res, 400)
    if ([...setKeys.map(({ key }) => key), ...remove].some(key => key.startsWith('op/') || key.startsWith('servers/'))) return sendJson(res, 403)
    const fault = this.fault({ expected, setKeys, remove })
    if (fault !== undefined) {
      // Nothing more comes on this channel; the call is carried out later if its condition still holds.
      setTimeout(() => { fault.done?.(this.commit(expected, setKeys, remove)) }, fault.lateMs)
      return
    }
    const { status, revision } = this.commit(expected, setKeys, remove)
    if (status === 200) sendJson(res, 200, { revision })
    else if (status === 412) sendJson(res, 412, { items: expected.flatMap(({ key }) => this.items.get(key) ?? []) })
    else sendJson(res, status)
  }
}
