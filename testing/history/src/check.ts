/** One request of a caller and the reply to it. */
export interface Attempt {
  /** Id of the operation that the caller requests; several attempts with one idempotency key share it. */
  readonly op: string
  readonly key: string | undefined
  readonly idempotent: boolean
  readonly requestBody: string
  readonly entry: string
  readonly reply:
    | { readonly kind: 'answer', readonly status: number, readonly outcome: string | undefined, readonly body: string }
    | { readonly kind: 'no-answer', readonly message: string }
}

/** A request that an executor started. */
export interface ExecutorStart {
  readonly op: string
  readonly requestId: string
  readonly target: string
}

/** All attempts of the callers and all starts at the executors. */
export interface History {
  readonly attempts: readonly Attempt[]
  readonly starts: readonly ExecutorStart[]
  /** Ids of entries that were killed, frozen or disconnected; their callers may receive no response. */
  readonly faultyEntries: ReadonlySet<string>
}

/** A guarantee that did not hold for an operation. */
export interface Violation {
  readonly rule: 'ran-twice' | 'not-run-untrue' | 'wrong-answer' | 'key-answers-differ' | 'lost' | 'answer-without-run'
  readonly op: string
  readonly details: string
}

/**
 * Checks a history against the guarantees given to callers.
 * @param history - all attempts and starts
 * @returns all violations, empty when every guarantee held
 * @throws SyntaxError when the body of a not-run response is not JSON
 */
export function checkHistory (history: History): Violation[] {
  const startsByOp = groupBy(history.starts, start => start.op)
  const startsByRequestId = groupBy(history.starts, start => start.requestId)
  const attemptsByOp = groupBy(history.attempts, attempt => attempt.op)
  return [
    ...[...attemptsByOp].flatMap(([op, attempts]) => checkSingleStart(op, attempts, startsByOp.get(op) ?? [])),
    ...[...attemptsByOp].flatMap(([op, attempts]) => checkKeyedReplies(op, attempts)),
    ...history.attempts.flatMap(attempt => checkAttempt(attempt, history, startsByOp, startsByRequestId))
  ]
}

function checkSingleStart (op: string, attempts: readonly Attempt[], starts: readonly ExecutorStart[]): Violation[] {
  if (starts.length <= 1 || attempts.every(attempt => attempt.idempotent)) return []
  return [{ rule: 'ran-twice', op, details: starts.map(start => start.target).join(', ') }]
}

function checkKeyedReplies (op: string, attempts: readonly Attempt[]): Violation[] {
  const bodies = new Set<string>()
  for (const { key, reply } of attempts) {
    if (key !== undefined && reply.kind === 'answer' && reply.outcome === undefined) bodies.add(reply.body)
  }
  return bodies.size <= 1 ? [] : [{ rule: 'key-answers-differ', op, details: [...bodies].join(' | ') }]
}

function checkAttempt (attempt: Attempt, history: History, startsByOp: ReadonlyMap<string, ExecutorStart[]>, startsByRequestId: ReadonlyMap<string, ExecutorStart[]>): Violation[] {
  const { reply, op } = attempt
  if (reply.kind === 'no-answer') {
    return history.faultyEntries.has(attempt.entry) ? [] : [{ rule: 'lost', op, details: `${attempt.entry}: ${reply.message}` }]
  }
  if (reply.outcome === 'not-run') return checkNotRun(attempt, reply.body, startsByRequestId)
  if (reply.outcome === 'unknown') return []
  if (reply.outcome !== undefined || reply.status !== 200) return [{ rule: 'wrong-answer', op, details: `status ${reply.status} ${reply.body}` }]
  if (!startsByOp.has(op)) return [{ rule: 'answer-without-run', op, details: reply.body }]
  return isCompleteOwnReply(attempt, reply.body) ? [] : [{ rule: 'wrong-answer', op, details: reply.body.slice(0, 200) }]
}

function checkNotRun (attempt: Attempt, body: string, startsByRequestId: ReadonlyMap<string, ExecutorStart[]>): Violation[] {
  const { requestId } = JSON.parse(body) as { requestId: string }
  const starts = startsByRequestId.get(requestId) ?? []
  return starts.length === 0 ? [] : [{ rule: 'not-run-untrue', op: attempt.op, details: `${requestId} ran at ${starts[0]?.target ?? ''}` }]
}

function isCompleteOwnReply (attempt: Attempt, body: string): boolean {
  try {
    const response = JSON.parse(body) as { op: string, echo: string }
    return response.op === attempt.op && response.echo === attempt.requestBody
  } catch {
    return false
  }
}

function groupBy<T> (items: readonly T[], keyOf: (item: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>()
  for (const item of items) {
    const key = keyOf(item)
    const group = groups.get(key) ?? []
    group.push(item)
    groups.set(key, group)
  }
  return groups
}
