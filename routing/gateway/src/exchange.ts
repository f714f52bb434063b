import type { Clock } from '@wisteriaslip/core.result'
import type { Metrics } from '@wisteriaslip/core.metrics'
import type { Refusal } from '@wisteriaslip/routing.admission'
import type { Connection, TargetResponse } from './connection.ts'
import type { Delivery } from './deliver.ts'
import { gatewayHeaderNames, type HeaderMap } from './headers.ts'
import type { PoolRuntime } from './pool-runtime.ts'
import type { RequestHead } from './request-head.ts'
import type { RetryBudget } from './retry-budget.ts'
import type { TargetConnections } from './target-connections.ts'

/** Attempts per request in total, including those in which the request has certainly not run. */
const MAX_ATTEMPTS = 6
/** Attempts in which an idempotent request may have run. */
const MAX_SENT_ATTEMPTS = 3

/** A request to be forwarded to a target of its pool. */
export interface Exchange {
  readonly head: RequestHead
  readonly requestId: string
  readonly headers: HeaderMap
  readonly body: Buffer
  readonly deadlineAt: number
  /** Aborted when the caller disconnects: the request stops waiting. */
  readonly signal: AbortSignal
  /**
   * Cancels connecting and sending. It aborts when the caller disconnects, if the request is idempotent and has no
   * idempotency key, and otherwise never.
   */
  readonly sendSignal: AbortSignal
}

/** A target's response whose body is being read. `end` must be called once it is read completely or abandoned. */
export interface OpenResponse {
  readonly response: TargetResponse
  readonly target: string
  end (how: { complete: boolean }): void
}

/** Result of an exchange. */
export type ExchangeResult =
  | { readonly kind: 'delivered', readonly delivery: Delivery }
  | { readonly kind: 'refused', readonly refusal: Refusal }
  | { readonly kind: 'no-target' }
  | { readonly kind: 'unknown', readonly timedOut: boolean }

type AttemptResult =
  | { readonly kind: 'delivered', readonly delivery: Delivery }
  | { readonly kind: 'not-run' }
  | { readonly kind: 'maybe-run', readonly timedOut: boolean }

/** Options of an exchange. */
export interface ExchangeOpts {
  readonly clock: Clock
  readonly metrics: Metrics
  readonly pool: PoolRuntime
  readonly retryBudget: RetryBudget
  readonly connections: (target: string) => TargetConnections | undefined
  /** Forwards a response to the caller. */
  readonly deliver: (response: OpenResponse) => Promise<Delivery>
}

/**
 * Acquires a slot and sends the request to the slot's target. Retries if the request has certainly not run, or if it is
 * idempotent and the retry budget allows it.
 * @param exchange - the request
 * @param opts - options of the exchange
 * @returns how the response was forwarded, or why there is none
 */
export async function runExchange (exchange: Exchange, opts: ExchangeOpts): Promise<ExchangeResult> {
  let lastSent: { timedOut: boolean } | undefined
  let sentAttempts = 0
  opts.retryBudget.accrue()
  for (let attemptCount = 0; attemptCount < MAX_ATTEMPTS; attemptCount++) {
    const admission = await opts.pool.queue.admit(toQueueRequest(exchange))
    if (!admission.ok) {
      return lastSent === undefined ? { kind: 'refused', refusal: admission.refusal } : { kind: 'unknown', timedOut: lastSent.timedOut }
    }
    const attempt = await sendToTarget(admission.slot.target, exchange, opts, admission.done)
    if (attempt.kind === 'delivered') return attempt
    if (attempt.kind === 'not-run') continue
    lastSent = attempt
    sentAttempts += 1
    const canRetry = exchange.head.workload.idempotent && sentAttempts < MAX_SENT_ATTEMPTS && opts.retryBudget.tryTake()
    if (!canRetry) return { kind: 'unknown', timedOut: lastSent.timedOut }
    opts.metrics.count('retries_total', { pool: opts.pool.pool })
  }
  return lastSent === undefined ? { kind: 'no-target' } : { kind: 'unknown', timedOut: lastSent.timedOut }
}

function toQueueRequest (exchange: Exchange) {
  const { head } = exchange
  return {
    class: head.class,
    tenant: head.tenant.name,
    deadlineAt: exchange.deadlineAt,
    bytes: exchange.body.length,
    signal: exchange.signal
  }
}

async function sendToTarget (target: string, exchange: Exchange, opts: ExchangeOpts, done: () => void): Promise<AttemptResult> {
  const connections = opts.connections(target)
  const { workload } = exchange.head
  const acquired = await connections?.acquire(workload.idempotent, exchange.sendSignal)
  if (connections === undefined || acquired === undefined || !acquired.ok) {
    if (connections?.isHealthy() === false) opts.pool.slots.markTargetLeaving(target)
    done()
    opts.metrics.count('attempts_total', { pool: opts.pool.pool, end: 'connect-failed' })
    return { kind: 'not-run' }
  }
  const connection = acquired.value
  const remainingMs = exchange.deadlineAt - opts.clock.now()
  if (remainingMs <= 0) {
    connections.giveBack(connection, true)
    done()
    return { kind: 'not-run' }
  }
  const sendResult = await connection.send({
    method: exchange.head.method,
    path: exchange.head.path,
    headers: exchange.headers,
    body: exchange.body,
    maxRunMs: Math.min(workload.maxRunMs, remainingMs),
    signal: exchange.sendSignal
  })
  if (!sendResult.ok) {
    connections.discardFailed(connection, sendResult.error.kind === 'timed-out')
    done()
    opts.metrics.count('attempts_total', { pool: opts.pool.pool, end: sendResult.error.kind })
    return { kind: 'maybe-run', timedOut: sendResult.error.kind === 'timed-out' }
  }
  return await handleResponse(sendResult.value, { target, connection, connections, exchange, opts, done })
}

interface SentRequest {
  readonly target: string
  readonly connection: Connection
  readonly connections: TargetConnections
  readonly exchange: Exchange
  readonly opts: ExchangeOpts
  readonly done: () => void
}

async function handleResponse (response: TargetResponse, sent: SentRequest): Promise<AttemptResult> {
  const { connections, connection, opts, target, done } = sent
  const refusedByTarget = response.status === 503 && response.headers[gatewayHeaderNames.notRun] === '1'
  const echoedRequestId = response.headers[gatewayHeaderNames.requestId]
  if (echoedRequestId !== undefined && echoedRequestId !== sent.exchange.requestId) {
    response.body.on('error', () => {})
    connections.discardFailed(connection, false)
    done()
    opts.metrics.count('attempts_total', { pool: opts.pool.pool, end: 'crossed' })
    return { kind: 'maybe-run', timedOut: false }
  }
  if (refusedByTarget) {
    response.body.on('error', () => {})
    connections.discardFailed(connection, false)
    opts.pool.slots.markTargetLeaving(target)
    done()
    opts.metrics.count('attempts_total', { pool: opts.pool.pool, end: 'refused' })
    return { kind: 'not-run' }
  }
  opts.metrics.count('attempts_total', { pool: opts.pool.pool, end: 'answered' })
  let ended = false
  const end = ({ complete }: { complete: boolean }): void => {
    if (ended) return
    ended = true
    if (complete) connections.giveBack(connection, response.headers.connection !== 'close')
    else connections.discardFailed(connection, false)
    done()
  }
  const delivery = await opts.deliver({ response, target, end })
  return delivery.kind === 'truncated-unsent' ? { kind: 'maybe-run', timedOut: false } : { kind: 'delivered', delivery }
}
