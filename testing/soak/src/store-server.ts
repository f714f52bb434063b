import type { Server } from 'node:http'
import { delay } from '@wisteriaslip/core.result'
import type { Addresses } from './addresses.ts'
import { createJsonServer, type JsonCall, type JsonReply } from './http.ts'
import type { PlatformStore, StoredItem } from './platform-store.ts'

const PAGE_ITEMS = 500
const MAX_WATCH_WAIT_MS = 30_000
const READ_ONLY_PREFIXES = ['op/', 'servers/']

/** Faults of the store for one entry. */
export interface StoreFault {
  /** Calls are refused with 503, and have no effect. */
  readonly refuses?: boolean
  /** Share of the calls that take effect and get no response. */
  readonly lostReplyShare?: number
}

/** Interface of the store for entries: each entry gets the addresses of its own proxies in the values that it reads. */
export class StoreServer {
  readonly server: Server
  private readonly store: PlatformStore
  private readonly addresses: Addresses
  private readonly random: () => number
  private readonly faults = new Map<number, Set<StoreFault>>()

  /**
   * @param store - data
   * @param addresses - addresses of the site
   * @param random - decides which replies are lost
   */
  constructor (store: PlatformStore, addresses: Addresses, random: () => number) {
    this.store = store
    this.addresses = addresses
    this.random = random
    this.server = createJsonServer(async call => await this.handle(call))
  }

  /**
   * Begins a fault for one entry.
   * @returns ends the fault
   */
  begin (entry: number, fault: StoreFault): () => void {
    const faults = this.faults.get(entry) ?? new Set()
    this.faults.set(entry, faults.add(fault))
    return () => { faults.delete(fault) }
  }

  private async handle (call: JsonCall): Promise<JsonReply> {
    const viewer = this.addresses.viewerOf(call.source)
    if (viewer === undefined) return { status: 403 }
    const faults = [...this.faults.get(viewer) ?? []]
    if (this.store.isDown()) return 'lost'
    if (faults.some(fault => fault.refuses === true)) return { status: 503 }
    const reply = await this.run(call, viewer)
    return faults.some(fault => this.random() < (fault.lostReplyShare ?? 0)) ? 'lost' : reply
  }

  private async run (call: JsonCall, viewer: number): Promise<JsonReply> {
    const { store } = this
    const name = `${call.method} ${call.path}`
    if (name === 'GET /-/kv-key') {
      const item = store.get(call.query.get('key') ?? '')
      return item === undefined ? { status: 404 } : { status: 200, body: { ...this.encode(item, viewer), at: store.at() } }
    }
    if (name === 'GET /-/kv-range') return { status: 200, body: this.page(call.query, viewer) }
    if (name === 'GET /-/kv-watch') return await this.watch(call, viewer)
    if (name === 'POST /-/kv-txn') return this.commit(call.body, viewer)
    if (name === 'POST /-/kv-lease') return { status: 200, body: store.grant(Number(call.body.ttlMs)) }
    const lease = Number(call.path.slice(call.path.lastIndexOf('/') + 1))
    if (name.startsWith('POST /-/kv-keep/')) return { status: store.keep(lease) ? 200 : 404 }
    if (name.startsWith('DELETE /-/kv-lease-end/')) return { status: store.end(lease) ? 200 : 404 }
    return { status: 404 }
  }

  private page (query: URLSearchParams, viewer: number): object {
    const after = query.get('after') ?? ''
    const rest = this.store.list(query.get('prefix') ?? '').filter(item => item.key > after)
    const items = rest.slice(0, PAGE_ITEMS).map(item => this.encode(item, viewer))
    return { items, hasMore: rest.length > PAGE_ITEMS, at: this.store.at() }
  }

  private async watch ({ query, signal }: JsonCall, viewer: number): Promise<JsonReply> {
    const { store } = this
    const prefix = query.get('prefix') ?? ''
    const after = Number(query.get('after') ?? 0)
    const until = performance.now() + Math.min(MAX_WATCH_WAIT_MS, Number(query.get('waitMs') ?? 0))
    for (;;) {
      const changes = store.changesAfter(prefix, after)
      if (changes === undefined) return { status: 410 }
      const leftMs = until - performance.now()
      if (changes.length > 0 || leftMs <= 0 || signal.aborted || store.isDown()) {
        const events = changes.map(({ key, revision, item }) => item === undefined ? { key, revision, deleted: true } : this.encode(item, viewer))
        return store.isDown() ? 'lost' : { status: 200, body: { events, at: store.at() } }
      }
      await this.nextChange(leftMs, signal)
    }
  }

  private async nextChange (withinMs: number, signal: AbortSignal): Promise<void> {
    const changed = new AbortController()
    const unsubscribe = this.store.subscribe(() => changed.abort())
    const stop = (): void => changed.abort()
    signal.addEventListener('abort', stop)
    await delay(withinMs, changed.signal)
    signal.removeEventListener('abort', stop)
    unsubscribe()
  }

  private commit (body: JsonCall['body'], viewer: number): JsonReply {
    const expected = body.expected as Array<{ key: string, revision: number }> ?? []
    const sets = body.setKeys as Array<{ key: string, value: string, lease?: number }> ?? []
    const removes = body.remove as string[] ?? []
    if ([...sets.map(({ key }) => key), ...removes].some(key => READ_ONLY_PREFIXES.some(prefix => key.startsWith(prefix)))) return { status: 403 }
    const puts = sets.map(({ key, value, lease }) => ({ key, value: this.decode(value, viewer), lease: lease ?? 0 }))
    const result = this.store.commit({ expected, puts, removes })
    if (result === 'no-lease') return { status: 404 }
    if (result !== 'conflict') return { status: 200, body: { revision: result } }
    const items = expected.flatMap(({ key }) => this.store.get(key) ?? []).map(item => this.encode(item, viewer))
    return { status: 412, body: { items } }
  }

  private encode (item: StoredItem, viewer: number): object {
    const text = item.value.replaceAll(this.addresses.viewPrefix(), this.addresses.viewPrefix(viewer))
    return { ...item, value: Buffer.from(text).toString('base64') }
  }

  private decode (value: string, viewer: number): string {
    return Buffer.from(value, 'base64').toString().replaceAll(this.addresses.viewPrefix(viewer), this.addresses.viewPrefix())
  }
}
