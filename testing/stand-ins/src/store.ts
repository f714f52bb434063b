import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'

/** Faults that the stand-in simulates. */
export interface StoreFaults {
  /** Connections are closed without a response. */
  down: boolean
  /** Delay of each response, in milliseconds. */
  delayMs: number
  /** Share of transactions that take effect but get no response. */
  lostReplyShare: number
  /** Present and new watches deliver nothing, without ending; they stay stalled after this is cleared. */
  stallWatches: boolean
}

interface Item { value: string, create: number, mod: number, lease: string | undefined }
interface Lease { ttlMs: number, expiresAt: number }
interface Watch { from: string, to: string, res: ServerResponse, stalled: boolean }
interface EventJson { type?: 'DELETE', kv: Record<string, string> }
interface Compare { key: string, target: string, mod_revision?: string, create_revision?: string }
interface RequestOp { request_put?: { key: string, value: string, lease?: string }, request_delete_range?: { key: string } }

/** In-memory stand-in for the JSON gateway of etcd v3, with the calls that the product uses. */
export class StoreStandIn {
  private readonly faults: StoreFaults = { down: false, delayMs: 0, lostReplyShare: 0, stallWatches: false }
  /** Number of calls, by URL path. */
  readonly calls = new Map<string, number>()
  readonly server: Server
  private readonly items = new Map<string, Item>()
  private readonly leases = new Map<string, Lease>()
  private readonly watches = new Set<Watch>()
  private readonly eventLog: Array<{ revision: number, events: EventJson[] }> = []
  private readonly random: () => number
  private revision = 1
  private nextLease = 1_000

  /** @param random - returns numbers in [0, 1), which decide the transactions that get no response */
  constructor (random: () => number = Math.random) {
    this.random = random
    this.server = createServer((req, res) => { this.handleRequest(req, res).catch(() => res.destroy()) })
    setInterval(() => this.expireLeases(), 100).unref()
  }

  /** @param faults - faults to change; the others stay as they are */
  setFaults (faults: Partial<StoreFaults>): void {
    Object.assign(this.faults, faults)
    for (const watch of this.watches) {
      watch.stalled = watch.stalled || this.faults.stallWatches
      if (this.faults.down) watch.res.destroy()
    }
  }

  private async handleRequest (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = await readJson(req)
    if (this.faults.down) {
      res.destroy()
      return
    }
    this.calls.set(req.url ?? '', (this.calls.get(req.url ?? '') ?? 0) + 1)
    if (this.faults.delayMs > 0) await new Promise(resolve => setTimeout(resolve, this.faults.delayMs))
    if (req.url === '/v3/watch') return this.watch(body.create_request, res)
    const reply = this.handleCall(req.url ?? '', body)
    if (req.url === '/v3/kv/txn' && this.random() < this.faults.lostReplyShare) {
      res.destroy()
      return
    }
    if (reply === undefined) {
      res.writeHead(404, { 'content-type': 'application/json' })
      res.end(JSON.stringify({ code: 5, message: 'etcdserver: requested lease not found' }))
      return
    }
    sendJson(res, reply)
  }

  private handleCall (url: string, body: any): unknown {
    switch (url) {
      case '/v3/kv/range': return this.range(body)
      case '/v3/kv/txn': return this.txn(body)
      case '/v3/lease/grant': return this.grant(Number(body.TTL) * 1_000)
      case '/v3/lease/keepalive': return { result: { ID: body.ID, TTL: this.keepAlive(body.ID) } }
      case '/v3/lease/revoke': return this.revoke(body.ID) ? { header: this.header() } : undefined
      default: return {}
    }
  }

  private range (body: { key: string, range_end?: string, min_mod_revision?: string }): unknown {
    const from = decode(body.key)
    const all = body.range_end === undefined
      ? [...this.items].filter(([key]) => key === from)
      : [...this.items].filter(([key]) => key >= from && key < decode(body.range_end ?? ''))
    const least = Number(body.min_mod_revision ?? 0)
    const kvs = all.filter(([, item]) => item.mod >= least).map(([key, item]) => toJson(key, item))
    return { header: this.header(), kvs, count: String(all.length) }
  }

  private txn (body: { compare: Compare[], success: RequestOp[] }): unknown {
    const leases = body.success.flatMap(op => op.request_put?.lease === undefined ? [] : [op.request_put.lease])
    if (leases.some(lease => !this.leases.has(lease))) return undefined
    const succeeded = body.compare.every(each => this.isSatisfied(each))
    if (succeeded) this.commit(body.success)
    return { header: this.header(), succeeded }
  }

  private isSatisfied (compare: Compare): boolean {
    const item = this.items.get(decode(compare.key))
    if (compare.target === 'MOD') return (item?.mod ?? 0) === Number(compare.mod_revision ?? 0)
    return (item?.create ?? 0) === Number(compare.create_revision ?? 0)
  }

  private commit (ops: RequestOp[]): void {
    this.revision += 1
    const events: EventJson[] = []
    for (const { request_put: put, request_delete_range: del } of ops) {
      if (put !== undefined) {
        const key = decode(put.key)
        const item = { value: decode(put.value), create: this.items.get(key)?.create ?? this.revision, mod: this.revision, lease: put.lease }
        this.items.set(key, item)
        events.push({ kv: toJson(key, item) })
      }
      if (del !== undefined && this.items.delete(decode(del.key))) {
        events.push({ type: 'DELETE', kv: { key: del.key, mod_revision: String(this.revision) } })
      }
    }
    this.eventLog.push({ revision: this.revision, events })
    for (const watch of this.watches) this.notify(watch, events)
  }

  private notify (watch: Watch, events: EventJson[]): void {
    const relevant = events.filter(({ kv }) => inRange(decode(kv.key ?? ''), watch))
    if (watch.stalled || relevant.length === 0) return
    watch.res.write(JSON.stringify({ result: { header: this.header(), events: relevant } }) + '\n')
  }

  private watch (create: { key: string, range_end: string, start_revision: string }, res: ServerResponse): void {
    const watch: Watch = { from: decode(create.key), to: decode(create.range_end), res, stalled: this.faults.stallWatches }
    res.writeHead(200, { 'content-type': 'application/json' })
    res.write(JSON.stringify({ result: { header: this.header(), created: true } }) + '\n')
    for (const { revision, events } of this.eventLog) {
      if (revision >= Number(create.start_revision)) this.notify(watch, events)
    }
    this.watches.add(watch)
    res.on('close', () => this.watches.delete(watch))
  }

  private grant (ttlMs: number): unknown {
    this.nextLease += 1
    this.leases.set(String(this.nextLease), { ttlMs, expiresAt: performance.now() + ttlMs })
    return { header: this.header(), ID: String(this.nextLease), TTL: String(ttlMs / 1_000) }
  }

  private keepAlive (id: string): string {
    const lease = this.leases.get(id)
    if (lease === undefined) return '0'
    lease.expiresAt = performance.now() + lease.ttlMs
    return String(lease.ttlMs / 1_000)
  }

  private revoke (id: string): boolean {
    if (!this.leases.delete(id)) return false
    const held = [...this.items].filter(([, item]) => item.lease === id)
    if (held.length > 0) this.commit(held.map(([key]) => ({ request_delete_range: { key: encode(key) } })))
    return true
  }

  /** Revokes expired leases. While the store is down, no lease expires. */
  private expireLeases (): void {
    const now = performance.now()
    for (const [id, lease] of this.leases) {
      if (this.faults.down) lease.expiresAt = Math.max(lease.expiresAt, now + lease.ttlMs)
      else if (lease.expiresAt < now) this.revoke(id)
    }
  }

  private header (): { revision: string } {
    return { revision: String(this.revision) }
  }
}

function inRange (key: string, watch: Watch): boolean {
  return key >= watch.from && key < watch.to
}

function toJson (key: string, item: Item): Record<string, string> {
  return { key: encode(key), value: encode(item.value), create_revision: String(item.create), mod_revision: String(item.mod) }
}

function encode (text: string): string {
  return Buffer.from(text).toString('base64')
}

function decode (base64: string): string {
  return Buffer.from(base64, 'base64').toString()
}

async function readJson (req: IncomingMessage): Promise<any> {
  const chunks: Buffer[] = []
  for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk)
  const text = Buffer.concat(chunks).toString()
  return text === '' ? {} : JSON.parse(text)
}

function sendJson (res: ServerResponse, body: unknown): void {
  res.writeHead(200, { 'content-type': 'application/json' })
  res.end(JSON.stringify(body))
}
