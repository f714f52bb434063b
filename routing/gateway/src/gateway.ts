import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import type { Labels, Metrics } from '@wisteriaslip/core.metrics'
import type { FleetConfig } from '@wisteriaslip/config.documents'
import { requestHash, claimId, issueKey, parseIssuedKey } from '@wisteriaslip/routing.idempotency'
import type { ClaimRequest, ClaimSettlement } from '@wisteriaslip/peers.protocol'
import { readBody } from './body.ts'
import { claimKey, settleClaim, type ClaimOwner } from './claims.ts'
import { deliver, sendRecordedResponse, type Delivery } from './deliver.ts'
import { errorResponses, refusalResponse, sendError, type ErrorResponse } from './error-responses.ts'
import { runExchange, type Exchange } from './exchange.ts'
import { gatewayHeaderNames, targetHeaders } from './headers.ts'
import type { PoolRuntime } from './pool-runtime.ts'
import { validateHead, type RequestHead } from './request-head.ts'
import { RetryBudget } from './retry-budget.ts'
import type { TargetConnections } from './target-connections.ts'

/** Options of the gateway. */
export interface GatewayOpts {
  readonly incarnation: string
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  /** Configuration in effect; undefined until one has been loaded. */
  readonly config: () => FleetConfig | undefined
  /** Whether the entry serves requests: it has a holder record and a configuration, and no newer incarnation has replaced it. */
  readonly ready: () => boolean
  readonly pool: (name: string) => PoolRuntime
  readonly connections: (target: string) => TargetConnections | undefined
  readonly claimOwnerFor: (claim: ClaimRequest) => ClaimOwner
  readonly limits: { readonly bodyBytes: number, readonly callerTimeoutMs: number }
}

const bodyErrorResponses = { 'too-large': errorResponses.bodyTooLarge, incomplete: errorResponses.bodyIncomplete, overload: errorResponses.overloaded } as const

interface ActiveClaim {
  readonly request: ClaimRequest
  readonly owner: ClaimOwner
}

/** Handles requests of callers and forwards them to targets. */
export class Gateway {
  private readonly opts: GatewayOpts
  private readonly retryBudgets = new Map<string, RetryBudget>()
  private readonly draining = new AbortController()
  private inFlight = 0
  private rejectingNewRequests = false

  constructor (opts: GatewayOpts) {
    this.opts = opts
  }

  /** @returns number of requests in progress */
  requestsInFlight (): number {
    return this.inFlight
  }

  /** Makes the health check fail, so that the load balancer sends requests elsewhere. Requests are still served. */
  startDraining (): void {
    this.draining.abort()
  }

  /** Rejects new requests from now on. Requests in progress continue. */
  rejectNewRequests (): void {
    this.rejectingNewRequests = true
  }

  /**
   * Handles a request. The promise never rejects.
   * @param req - request of a caller
   * @param res - response to the caller
   */
  async handle (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const requestId = randomUUID()
    this.inFlight += 1
    try {
      await this.route(req, res, requestId)
    } catch (error) {
      this.opts.logger.error({ err: error, requestId }, 'unexpected error while handling request')
      sendError(res, requestId, errorResponses.outcomeUnknown)
    } finally {
      this.inFlight -= 1
    }
  }

  private async route (req: IncomingMessage, res: ServerResponse, requestId: string): Promise<void> {
    if (this.draining.signal.aborted) res.setHeader('connection', 'close')
    if (req.method === 'GET' && req.url === '/healthz') return this.sendHealth(res)
    const config = this.opts.config()
    if (this.rejectingNewRequests) return this.refuse(res, requestId, errorResponses.shuttingDown)
    if (config === undefined || !this.opts.ready()) return this.refuse(res, requestId, errorResponses.notReady)
    if (req.method === 'POST' && req.url === '/idempotency-keys') return this.issueIdempotencyKey(res)
    const head = validateHead(req, config)
    if (!head.ok) {
      req.resume()
      return this.refuse(res, requestId, head.error)
    }
    await this.serve(req, res, requestId, head.value)
  }

  private async serve (req: IncomingMessage, res: ServerResponse, requestId: string, head: RequestHead): Promise<void> {
    const startedAt = this.opts.clock.now()
    const body = await readBody(req, { maxBytes: this.opts.limits.bodyBytes, timeoutMs: this.opts.limits.callerTimeoutMs })
    if (!body.ok) {
      res.setHeader('connection', 'close')
      return this.refuse(res, requestId, bodyErrorResponses[body.error], head)
    }
    const callerAbort = new AbortController()
    res.once('close', () => { if (!res.writableFinished) callerAbort.abort() })
    const exchange: Exchange = {
      head,
      requestId,
      headers: targetHeaders(req.headers, { [gatewayHeaderNames.requestId]: requestId, [gatewayHeaderNames.tenant]: head.tenant.name }),
      body: body.value,
      deadlineAt: startedAt + head.deadlineMs,
      signal: callerAbort.signal,
      sendSignal: head.workload.idempotent && head.key === undefined ? callerAbort.signal : new AbortController().signal
    }
    if (head.key === undefined) await this.run(exchange, res, undefined)
    else await this.claimAndRun(exchange, head.key, res)
    this.opts.metrics.observe('request_us', { tenant: head.tenant.name, class: head.class }, this.opts.clock.now() - startedAt)
  }

  private async claimAndRun (exchange: Exchange, key: string, res: ServerResponse): Promise<void> {
    const { head, requestId } = exchange
    const issuedBy = parseIssuedKey(key)
    const request: ClaimRequest = {
      id: claimId(head.tenant.name, head.workload.name, key),
      bodyHash: requestHash(head.method, head.path, exchange.body),
      requestId,
      settleWithinMs: head.deadlineMs,
      ...(issuedBy === undefined ? {} : { issuedBy })
    }
    const owner = this.opts.claimOwnerFor(request)
    const verdict = await claimKey(owner, request, { clock: this.opts.clock, deadlineAt: exchange.deadlineAt, signal: exchange.signal })
    this.opts.metrics.count('claims_total', { verdict: verdict.kind })
    switch (verdict.kind) {
      case 'run': return await this.run(exchange, res, { request, owner })
      case 'answered': return sendRecordedResponse(verdict.recordedResponse, res)
      case 'lost': return this.refuse(res, requestId, errorResponses.claimLost, head)
      case 'different': return this.refuse(res, requestId, errorResponses.idempotencyKeyReused, head)
      case 'still-running': return this.refuse(res, requestId, errorResponses.stillRunning, head)
      case 'unavailable':
        this.settle({ request, owner }, 'released')
        return this.refuse(res, requestId, errorResponses.claimUnavailable, head)
    }
  }

  private async run (exchange: Exchange, res: ServerResponse, activeClaim: ActiveClaim | undefined): Promise<void> {
    const { head, requestId } = exchange
    const result = await runExchange(exchange, {
      clock: this.opts.clock,
      metrics: this.opts.metrics,
      pool: this.opts.pool(head.pool),
      retryBudget: this.getOrCreateRetryBudget(head.pool),
      connections: this.opts.connections,
      deliver: async openResponse => await deliver(openResponse, res, requestId)
    })
    switch (result.kind) {
      case 'delivered':
        return this.recordDelivery(result.delivery, exchange, activeClaim)
      case 'refused':
        this.settle(activeClaim, 'released')
        return this.refuse(res, requestId, refusalResponse(result.refusal), head)
      case 'no-target':
        this.settle(activeClaim, 'released')
        return this.refuse(res, requestId, errorResponses.noTarget, head)
      case 'unknown':
        this.settle(activeClaim, 'lost')
        return this.refuse(res, requestId, result.timedOut ? errorResponses.timedOut : errorResponses.outcomeUnknown, head)
    }
  }

  private recordDelivery (delivery: Delivery, exchange: Exchange, activeClaim: ActiveClaim | undefined): void {
    const { head } = exchange
    if (delivery.kind === 'whole' && delivery.recordedResponse !== undefined) this.settle(activeClaim, { outcome: delivery.recordedResponse })
    else this.settle(activeClaim, 'lost')
    this.opts.metrics.count('requests_total', { tenant: head.tenant.name, class: head.class, end: delivery.kind })
  }

  private settle (activeClaim: ActiveClaim | undefined, result: ClaimSettlement['result']): void {
    if (activeClaim === undefined) return
    const { id, requestId, issuedBy } = activeClaim.request
    settleClaim(activeClaim.owner, { id, requestId, ...(issuedBy === undefined ? {} : { issuedBy }), result })
      .catch(error => this.opts.logger.error({ err: error, requestId }, 'failed to settle idempotency claim'))
  }

  private refuse (res: ServerResponse, requestId: string, response: ErrorResponse, head?: RequestHead): void {
    const labels: Labels = head === undefined ? {} : { tenant: head.tenant.name, class: head.class }
    this.opts.metrics.count('requests_total', { ...labels, end: response.code })
    this.opts.logger.debug({ requestId, code: response.code, outcome: response.outcome }, 'refused')
    sendError(res, requestId, response)
  }

  private sendHealth (res: ServerResponse): void {
    const healthy = this.opts.ready() && !this.draining.signal.aborted
    res.writeHead(healthy ? 200 : 503, { 'content-type': 'text/plain' })
    res.end(healthy ? 'ok\n' : 'not ready\n')
  }

  private issueIdempotencyKey (res: ServerResponse): void {
    res.writeHead(201, { 'content-type': 'application/json' })
    res.end(JSON.stringify({ key: issueKey(this.opts.incarnation) }))
  }

  private getOrCreateRetryBudget (pool: string): RetryBudget {
    const existing = this.retryBudgets.get(pool)
    if (existing !== undefined) return existing
    const budget = new RetryBudget()
    this.retryBudgets.set(pool, budget)
    return budget
  }
}
