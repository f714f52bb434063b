import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock } from '@wisteriaslip/core.result'
import type { Logger } from '@wisteriaslip/core.logger'
import type { Labels, Metrics } from '@wisteriaslip/core.metrics'
import type { FleetConfig } from '@wisteriaslip/config.documents'
import { bodyHash, claimId, issueKey, parseIssuedKey } from '@wisteriaslip/routing.idempotency'
import type { ClaimRequest, ClaimSettlement } from '@wisteriaslip/peers.protocol'
import { readBody } from './body.ts'
import { claimKey, settleKey, type ClaimOwner } from './claims.ts'
import { deliver, replay, type Delivery } from './deliver.ts'
import { runExchange, type Exchange } from './exchange.ts'
import { headerNames, targetHeaders } from './headers.ts'
import { checkHead, type Intake } from './intake.ts'
import type { PoolRuntime } from './pool-runtime.ts'
import { errorReply, refusalReply, sendError, type ErrorReply } from './replies.ts'
import { RetryBudget } from './retry-budget.ts'
import type { TargetConnections } from './target-connections.ts'

/** What the gateway needs of the entry. */
export interface GatewayOpts {
  readonly incarnation: string
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  /** Configuration in force, undefined before the first. */
  readonly config: () => FleetConfig | undefined
  /** Whether the entry takes part: registered, with a configuration. */
  readonly ready: () => boolean
  readonly pool: (name: string) => PoolRuntime
  readonly connections: (target: string) => TargetConnections | undefined
  readonly owner: (claim: ClaimRequest) => ClaimOwner
  readonly limits: { readonly bodyBytes: number, readonly callerTimeoutMs: number }
}

interface Claimed {
  readonly request: ClaimRequest
  readonly owner: ClaimOwner
}

/** Takes callers' requests, one task for each. */
export class Gateway {
  private readonly opts: GatewayOpts
  private readonly retries = new Map<string, RetryBudget>()
  private readonly draining = new AbortController()
  private inFlight = 0
  private refusing = false

  constructor (opts: GatewayOpts) {
    this.opts = opts
  }

  /** @returns requests under way */
  requestsInFlight (): number {
    return this.inFlight
  }

  /** From now on the health page tells the balancer to send requests elsewhere. Requests are still served. */
  startDraining (): void {
    this.draining.abort()
  }

  /** From now on new requests are refused. Those under way go on. */
  rejectNewRequests (): void {
    this.refusing = true
  }

  /**
   * Serves a request. Never rejects.
   * @param req - from a caller
   * @param res - to the caller
   */
  async handle (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const requestId = randomUUID()
    this.inFlight += 1
    try {
      await this.route(req, res, requestId)
    } catch (error) {
      this.opts.logger.error({ err: error, requestId }, 'request failed unexpectedly')
      sendError(res, requestId, errorReply.outcomeUnknown)
    } finally {
      this.inFlight -= 1
    }
  }

  private async route (req: IncomingMessage, res: ServerResponse, requestId: string): Promise<void> {
    if (this.draining.signal.aborted) res.setHeader('connection', 'close')
    if (req.method === 'GET' && req.url === '/healthz') return this.health(res)
    const config = this.opts.config()
    if (this.refusing) return this.refuse(res, requestId, errorReply.shuttingDown)
    if (config === undefined || !this.opts.ready()) return this.refuse(res, requestId, errorReply.notReady)
    if (req.method === 'POST' && req.url === '/idempotency-keys') return this.giveKey(res)
    const intake = checkHead(req, config)
    if (!intake.ok) {
      req.resume()
      return this.refuse(res, requestId, intake.error)
    }
    await this.serve(req, res, requestId, intake.value)
  }

  private async serve (req: IncomingMessage, res: ServerResponse, requestId: string, intake: Intake): Promise<void> {
    const startedAt = this.opts.clock.now()
    const body = await readBody(req, { maxBytes: this.opts.limits.bodyBytes, timeoutMs: this.opts.limits.callerTimeoutMs })
    if (!body.ok) {
      res.setHeader('connection', 'close')
      return this.refuse(res, requestId, body.error === 'too-large' ? errorReply.bodyTooLarge : errorReply.bodyIncomplete, intake)
    }
    const gone = new AbortController()
    res.once('close', () => { if (!res.writableFinished) gone.abort() })
    const exchange: Exchange = {
      intake,
      requestId,
      headers: targetHeaders(req.headers, { [headerNames.requestId]: requestId, [headerNames.tenant]: intake.tenant.name }),
      body: body.value,
      deadlineAt: startedAt + intake.deadlineMs,
      signal: gone.signal,
      sendSignal: intake.workload.idempotent && intake.key === undefined ? gone.signal : new AbortController().signal
    }
    if (intake.key === undefined) await this.run(exchange, res, undefined)
    else await this.runKeyed(exchange, intake.key, res)
    this.opts.metrics.observe('request_us', { tenant: intake.tenant.name, class: intake.class }, this.opts.clock.now() - startedAt)
  }

  private async runKeyed (exchange: Exchange, key: string, res: ServerResponse): Promise<void> {
    const { intake, requestId } = exchange
    const issuedBy = parseIssuedKey(key)
    const request: ClaimRequest = {
      id: claimId(intake.tenant.name, intake.workload.name, key),
      bodyHash: bodyHash(intake.method, intake.path, exchange.body),
      requestId,
      settleWithinMs: intake.deadlineMs,
      ...(issuedBy === undefined ? {} : { issuedBy })
    }
    const owner = this.opts.owner(request)
    const verdict = await claimKey(owner, request, { clock: this.opts.clock, deadlineAt: exchange.deadlineAt, signal: exchange.signal })
    this.opts.metrics.count('claims_total', { verdict: verdict.kind })
    switch (verdict.kind) {
      case 'run': return await this.run(exchange, res, { request, owner })
      case 'answered': return replay(verdict.outcome, res)
      case 'lost': return this.refuse(res, requestId, errorReply.claimLost, intake)
      case 'different': return this.refuse(res, requestId, errorReply.keyReused, intake)
      case 'still-running': return this.refuse(res, requestId, errorReply.stillRunning, intake)
      case 'unavailable':
        this.settle({ request, owner }, 'released')
        return this.refuse(res, requestId, errorReply.claimUnavailable, intake)
    }
  }

  private async run (exchange: Exchange, res: ServerResponse, claimed: Claimed | undefined): Promise<void> {
    const { intake, requestId } = exchange
    const result = await runExchange(exchange, {
      clock: this.opts.clock,
      metrics: this.opts.metrics,
      pool: this.opts.pool(intake.pool),
      retries: this.retryBudget(intake.pool),
      connections: this.opts.connections,
      deliver: async open => await deliver(open, res, requestId)
    })
    switch (result.kind) {
      case 'delivered':
        return this.conclude(result.delivery, exchange, claimed)
      case 'refused':
        this.settle(claimed, 'released')
        return this.refuse(res, requestId, refusalReply(result.refusal), intake)
      case 'no-target':
        this.settle(claimed, 'released')
        return this.refuse(res, requestId, errorReply.noTarget, intake)
      case 'unknown':
        this.settle(claimed, 'lost')
        return this.refuse(res, requestId, result.timedOut ? errorReply.timedOut : errorReply.outcomeUnknown, intake)
    }
  }

  private conclude (delivery: Delivery, exchange: Exchange, claimed: Claimed | undefined): void {
    const { intake } = exchange
    if (delivery.kind === 'whole' && delivery.outcome !== undefined) this.settle(claimed, { outcome: delivery.outcome })
    else this.settle(claimed, 'lost')
    this.opts.metrics.count('requests_total', { tenant: intake.tenant.name, class: intake.class, end: delivery.kind })
  }

  private settle (claimed: Claimed | undefined, result: ClaimSettlement['result']): void {
    if (claimed === undefined) return
    const { id, requestId, issuedBy } = claimed.request
    settleKey(claimed.owner, { id, requestId, ...(issuedBy === undefined ? {} : { issuedBy }), result })
      .catch(error => this.opts.logger.error({ err: error, requestId }, 'claim not settled'))
  }

  private refuse (res: ServerResponse, requestId: string, reply: ErrorReply, intake?: Intake): void {
    const labels: Labels = intake === undefined ? {} : { tenant: intake.tenant.name, class: intake.class }
    this.opts.metrics.count('requests_total', { ...labels, end: reply.code })
    this.opts.logger.debug({ requestId, code: reply.code, outcome: reply.outcome }, 'refused')
    sendError(res, requestId, reply)
  }

  private health (res: ServerResponse): void {
    const healthy = this.opts.ready() && !this.draining.signal.aborted
    res.writeHead(healthy ? 200 : 503, { 'content-type': 'text/plain' })
    res.end(healthy ? 'ok\n' : 'not ready\n')
  }

  private giveKey (res: ServerResponse): void {
    res.writeHead(201, { 'content-type': 'application/json' })
    res.end(JSON.stringify({ key: issueKey(this.opts.incarnation) }))
  }

  private retryBudget (pool: string): RetryBudget {
    const known = this.retries.get(pool)
    if (known !== undefined) return known
    const budget = new RetryBudget()
    this.retries.set(pool, budget)
    return budget
  }
}
