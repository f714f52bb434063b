import type { Clock } from '@wisteriaslip/core.result'
import type { Metrics } from '@wisteriaslip/core.metrics'
import type { Refusal } from '@wisteriaslip/routing.admission'
import type { Answer, Connection } from './connection.ts'
import type { Delivery } from './deliver.ts'
import { headerNames, type HeaderMap } from './headers.ts'
import type { Intake } from './intake.ts'
import type { PoolRuntime } from './pool-runtime.ts'
import type { RetryBudget } from './retry-budget.ts'
import type { TargetConnections } from './target-connections.ts'

/** Tries of a request that provably did not run. */
const MAX_UNSENT_TRIES = 6
/** Tries of an idempotent request that may have run. */
const MAX_SENT_TRIES = 3

/** A request on its way to some target of its pool. */
export interface Exchange {
  readonly intake: Intake
  readonly requestId: string
  readonly headers: HeaderMap
  readonly body: Buffer
  readonly deadlineAt: number
  /** Aborts when the caller is gone: the request stops waiting. */
  readonly signal: AbortSignal
  /** Aborts when a request under way may be cut off. */
  readonly sendSignal: AbortSignal
}

/** An answer being read. `end` must be called once, when it was read whole or given up. */
export interface OpenAnswer {
  readonly answer: Answer
  readonly target: string
  end (how: { whole: boolean }): void
}

/** How an exchange ended. */
export type ExchangeResult =
  | { readonly kind: 'delivered', readonly delivery: Delivery }
  | { readonly kind: 'refused', readonly refusal: Refusal }
  | { readonly kind: 'no-target' }
  | { readonly kind: 'unknown', readonly timedOut: boolean }

type Attempt =
  | { readonly kind: 'delivered', readonly delivery: Delivery }
  | { readonly kind: 'not-run' }
  | { readonly kind: 'maybe-run', readonly timedOut: boolean }

/** What an exchange needs of the entry. */
export interface ExchangeOpts {
  readonly clock: Clock
  readonly metrics: Metrics
  readonly pool: PoolRuntime
  readonly retries: RetryBudget
  readonly connections: (target: string) => TargetConnections | undefined
  /** Passes an answer on to the caller. */
  readonly deliver: (open: OpenAnswer) => Promise<Delivery>
}

/**
 * Gets a slot and sends the request; again elsewhere if it provably did not run, or if it is idempotent.
 * @param exchange - the request
 * @param opts - what it needs of the entry
 * @returns how the answer was passed on, or why there is none
 */
export async function runExchange (exchange: Exchange, opts: ExchangeOpts): Promise<ExchangeResult> {
  let sent: { timedOut: boolean } | undefined
  let sentTries = 0
  opts.retries.earn()
  for (let tries = 0; tries < MAX_UNSENT_TRIES; tries++) {
    const admission = await opts.pool.queue.admit(queueRequest(exchange))
    if (!admission.ok) {
      return sent === undefined ? { kind: 'refused', refusal: admission.refusal } : { kind: 'unknown', timedOut: sent.timedOut }
    }
    const attempt = await attemptOn(admission.slot.target, exchange, opts, admission.done)
    if (attempt.kind === 'delivered') return attempt
    if (attempt.kind === 'not-run') continue
    sent = attempt
    sentTries += 1
    const again = exchange.intake.workload.idempotent && sentTries < MAX_SENT_TRIES && opts.retries.spend()
    if (!again) return { kind: 'unknown', timedOut: sent.timedOut }
    opts.metrics.count('retries_total', { pool: opts.pool.pool })
  }
  return sent === undefined ? { kind: 'no-target' } : { kind: 'unknown', timedOut: sent.timedOut }
}

function queueRequest (exchange: Exchange) {
  const { intake } = exchange
  return {
    class: intake.class,
    tenant: intake.tenant.name,
    deadlineAt: exchange.deadlineAt,
    bytes: exchange.body.length,
    signal: exchange.signal
  }
}

async function attemptOn (target: string, exchange: Exchange, opts: ExchangeOpts, done: () => void): Promise<Attempt> {
  const connections = opts.connections(target)
  const { workload } = exchange.intake
  const taken = await connections?.take(workload.idempotent, exchange.sendSignal)
  if (connections === undefined || taken === undefined || !taken.ok) {
    if (connections?.healthy() === false) opts.pool.slots.markTargetLeaving(target)
    done()
    opts.metrics.count('attempts_total', { pool: opts.pool.pool, end: 'connect-failed' })
    return { kind: 'not-run' }
  }
  const connection = taken.value
  const remaining = exchange.deadlineAt - opts.clock.now()
  if (remaining <= 0) {
    connections.giveBack(connection, true)
    done()
    return { kind: 'not-run' }
  }
  const sent = await connection.send({
    method: exchange.intake.method,
    path: exchange.intake.path,
    headers: exchange.headers,
    body: exchange.body,
    maxRunMs: Math.min(workload.maxRunMs, remaining),
    signal: exchange.sendSignal
  })
  if (!sent.ok) {
    connections.fail(connection, sent.error.kind === 'timed-out')
    done()
    opts.metrics.count('attempts_total', { pool: opts.pool.pool, end: sent.error.kind })
    return { kind: 'maybe-run', timedOut: sent.error.kind === 'timed-out' }
  }
  return await judge(sent.value, { target, connection, connections, exchange, opts, done })
}

interface Sent {
  readonly target: string
  readonly connection: Connection
  readonly connections: TargetConnections
  readonly exchange: Exchange
  readonly opts: ExchangeOpts
  readonly done: () => void
}

async function judge (answer: Answer, sent: Sent): Promise<Attempt> {
  const { connections, connection, opts, target, done } = sent
  const refused = answer.status === 503 && answer.headers[headerNames.notRun] === '1'
  const named = answer.headers[headerNames.requestId]
  if (named !== undefined && named !== sent.exchange.requestId) {
    answer.body.on('error', () => {})
    connections.fail(connection, false)
    done()
    opts.metrics.count('attempts_total', { pool: opts.pool.pool, end: 'crossed' })
    return { kind: 'maybe-run', timedOut: false }
  }
  if (refused) {
    answer.body.on('error', () => {})
    connections.fail(connection, false)
    opts.pool.slots.markTargetLeaving(target)
    done()
    opts.metrics.count('attempts_total', { pool: opts.pool.pool, end: 'refused' })
    return { kind: 'not-run' }
  }
  opts.metrics.count('attempts_total', { pool: opts.pool.pool, end: 'answered' })
  let ended = false
  const end = ({ whole }: { whole: boolean }): void => {
    if (ended) return
    ended = true
    if (whole) connections.giveBack(connection, answer.headers.connection !== 'close')
    else connections.fail(connection, false)
    done()
  }
  const delivery = await opts.deliver({ answer, target, end })
  return delivery.kind === 'cut-unheard' ? { kind: 'maybe-run', timedOut: false } : { kind: 'delivered', delivery }
}
