import { Agent, request } from 'undici'
import { err, ok, untilAborted, type Result } from '@wisteriaslip/core.result'
import type { Driver, DriverError, DriverTxn, Guard, KeyRange, RangeOpts, WatchBatch } from '@wisteriaslip/store.client'
import { fromBase64, toBase64, prefixRangeEnd, type EventJson, type KeyValueJson } from './wire-format.ts'
import { readLines } from './read-lines.ts'

const MAX_REPLY_CHARS = 64 * 1024 * 1024
const CONNECTIONS_PER_ENDPOINT = 8

interface GatewayReply {
  readonly header?: { readonly revision?: string }
  readonly kvs?: readonly KeyValueJson[]
  readonly count?: string
  readonly succeeded?: boolean
  readonly ID?: string
  readonly result?: {
    readonly header?: { readonly revision?: string }
    readonly TTL?: string
    readonly events?: readonly EventJson[]
    readonly created?: boolean
    readonly canceled?: boolean
    readonly compact_revision?: string
  }
}

/**
 * Driver for the etcd JSON gateway with one or more endpoints. After a connection error, a malformed reply or an abort
 * (such as a timeout), the next endpoint is used; after an HTTP error, the same one.
 */
export class EtcdDriver implements Driver {
  private readonly endpoints: readonly string[]
  private readonly agent = new Agent({ connections: CONNECTIONS_PER_ENDPOINT, pipelining: 1, keepAliveTimeout: 10_000 })
  private endpointIndex = 0

  /** @param endpoints - base URLs such as `http://10.0.0.5:2379` */
  constructor (endpoints: readonly string[]) {
    this.endpoints = endpoints
  }

  async range (key: string, opts: RangeOpts): Promise<Result<KeyRange, DriverError>> {
    const reply = await this.post('/v3/kv/range', {
      key: toBase64(key),
      ...(opts.prefix === true ? { range_end: prefixRangeEnd(key) } : {}),
      ...(opts.minModRevision === undefined ? {} : { min_mod_revision: String(opts.minModRevision) })
    }, opts.signal)
    if (!reply.ok) return reply
    return ok({
      revision: Number(reply.value.header?.revision ?? 0),
      count: Number(reply.value.count ?? 0),
      kvs: (reply.value.kvs ?? []).map(toKeyValue)
    })
  }

  async txn (txn: DriverTxn, signal: AbortSignal): Promise<Result<{ succeeded: boolean, revision: number }, DriverError>> {
    const puts = txn.puts.map(put => ({
      request_put: { key: toBase64(put.key), value: toBase64(put.value), ...(put.leaseId === undefined ? {} : { lease: put.leaseId }) }
    }))
    const deletes = txn.deletes.map(key => ({ request_delete_range: { key: toBase64(key) } }))
    const body = { compare: txn.guards.flatMap(toCompares), success: [...puts, ...deletes], failure: [] }
    const reply = await this.post('/v3/kv/txn', body, signal)
    if (!reply.ok) return reply
    return ok({ succeeded: reply.value.succeeded === true, revision: Number(reply.value.header?.revision ?? 0) })
  }

  async grantLease (ttlMs: number, signal: AbortSignal): Promise<Result<string, DriverError>> {
    const reply = await this.post('/v3/lease/grant', { TTL: String(Math.ceil(ttlMs / 1_000)) }, signal)
    if (!reply.ok) return reply
    return ok(reply.value.ID ?? '')
  }

  async keepAlive (leaseId: string, signal: AbortSignal): Promise<Result<void, DriverError>> {
    const reply = await this.post('/v3/lease/keepalive', { ID: leaseId }, signal)
    if (!reply.ok) return reply
    const alive = Number(reply.value.result?.TTL ?? 0) > 0
    return alive ? ok(undefined) : err({ kind: 'refused', code: 'lease-not-found', message: 'lease expired' })
  }

  async revokeLease (leaseId: string, signal: AbortSignal): Promise<Result<void, DriverError>> {
    const reply = await this.post('/v3/lease/revoke', { ID: leaseId }, signal)
    return reply.ok ? ok(undefined) : reply
  }

  async watch (prefix: string, fromRevision: number, onBatch: (batch: WatchBatch) => void, signal: AbortSignal): Promise<DriverError> {
    const create = { key: toBase64(prefix), range_end: prefixRangeEnd(prefix), start_revision: String(fromRevision), progress_notify: true }
    try {
      const res = await untilAborted(signal, request(`${this.endpoint()}/v3/watch`, {
        method: 'POST',
        body: JSON.stringify({ create_request: create }),
        dispatcher: this.agent,
        signal,
        bodyTimeout: 0
      }))
      for await (const line of readLines(res.body)) {
        const reply = JSON.parse(line) as GatewayReply
        if (reply.result?.compact_revision !== undefined) return { kind: 'refused', code: 'compacted', message: 'requested revision has been compacted' }
        if (reply.result?.canceled === true) return { kind: 'lost', message: 'watch was canceled by the server' }
        if (reply.result?.created !== true) onBatch(toBatch(reply))
      }
      return { kind: 'lost', message: 'watch stream ended' }
    } catch (error) {
      this.useNextEndpoint()
      return { kind: 'lost', message: String(error) }
    }
  }

  private async post (path: string, body: unknown, signal: AbortSignal | undefined): Promise<Result<GatewayReply, DriverError>> {
    try {
      const opts = { method: 'POST' as const, body: JSON.stringify(body), dispatcher: this.agent }
      const url = `${this.endpoint()}${path}`
      const res = signal === undefined ? await request(url, opts) : await untilAborted(signal, request(url, { ...opts, signal }))
      const text = await res.body.text()
      if (text.length > MAX_REPLY_CHARS) return err({ kind: 'lost', message: 'reply is too large' })
      if (res.statusCode !== 200) return err(toDriverError(res.statusCode, text))
      return ok(JSON.parse(text) as GatewayReply)
    } catch (error) {
      this.useNextEndpoint()
      return err({ kind: 'lost', message: String(error) })
    }
  }

  private endpoint (): string {
    return this.endpoints[this.endpointIndex % this.endpoints.length] ?? ''
  }

  private useNextEndpoint (): void {
    this.endpointIndex += 1
  }
}

function toCompares (guard: Guard): unknown[] {
  const key = toBase64(guard.key)
  const out: unknown[] = []
  if (guard.modRevision !== undefined) out.push({ key, target: 'MOD', result: 'EQUAL', mod_revision: String(guard.modRevision) })
  if (guard.createRevision !== undefined) out.push({ key, target: 'CREATE', result: 'EQUAL', create_revision: String(guard.createRevision) })
  return out
}

function toKeyValue (kv: KeyValueJson) {
  return {
    key: fromBase64(kv.key),
    value: fromBase64(kv.value ?? ''),
    createRevision: Number(kv.create_revision ?? 0),
    modRevision: Number(kv.mod_revision ?? 0)
  }
}

function toBatch (reply: GatewayReply): WatchBatch {
  const events = reply.result?.events ?? []
  return {
    revision: batchRevision(reply, events),
    changed: events.filter(event => event.type !== 'DELETE').map(event => toKeyValue(event.kv)),
    deleted: events.filter(event => event.type === 'DELETE').map(event => ({ key: fromBase64(event.kv.key), modRevision: Number(event.kv.mod_revision ?? 0) }))
  }
}

/**
 * The revision in the header may be ahead of the events, so it is used only in replies without events (progress
 * notifications). Otherwise the batch ends at the latest revision of its events.
 */
function batchRevision (reply: GatewayReply, events: readonly EventJson[]): number {
  if (events.length === 0) return Number(reply.result?.header?.revision ?? 0)
  return Math.max(...events.map(event => Number(event.kv.mod_revision ?? 0)))
}

function toDriverError (status: number, text: string): DriverError {
  if (text.includes('lease not found')) return { kind: 'refused', code: 'lease-not-found', message: text }
  if (status === 429 || text.includes('too many requests')) return { kind: 'refused', code: 'overloaded', message: text }
  if (text.includes('too many operations') || text.includes('request is too large')) return { kind: 'refused', code: 'invalid', message: text }
  if (status >= 500) return { kind: 'lost', message: `HTTP status ${status}` }
  return { kind: 'refused', code: 'other', message: text }
}
