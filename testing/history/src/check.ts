/** One request of a caller, and what it was told. */
export interface Attempt {
  /** What the caller wants done; several attempts with one idempotency key share it. */
  readonly op: string
  readonly key: string | undefined
  readonly idempotent: boolean
  /** What was sent. */
  readonly sent: string
  readonly entry: string
  readonly reply:
    | { readonly kind: 'answer', readonly status: number, readonly outcome: string | undefined, readonly body: string }
    | { readonly kind: 'no-answer', readonly message: string }
}

/** One start at an executor. */
export interface Start {
  readonly op: string
  readonly requestId: string
  readonly target: string
}

/** All that happened. */
export interface History {
  readonly attempts: readonly Attempt[]
  readonly starts: readonly Start[]
  /** Entries that were killed, frozen or cut off: their callers may be left without an answer. */
  readonly faultyEntries: ReadonlySet<string>
}

/** A promise that was broken. */
export interface Violation {
  readonly rule: 'ran-twice' | 'not-run-untrue' | 'wrong-answer' | 'key-answers-differ' | 'lost' | 'answer-without-run'
  readonly op: string
  readonly details: string
}

/**
 * Checks a history.
 * @param history - all attempts and starts
 * @returns every violation; none means that all promises were kept
 */
export function checkHistory (history: History): Violation[] {
  const startsByOp = groupBy(history.starts, start => start.op)
  const startsByRequest = groupBy(history.starts, start => start.requestId)
  const attemptsByOp = groupBy(history.attempts, attempt => attempt.op)
  return [
    ...[...attemptsByOp].flatMap(([op, attempts]) => checkOnce(op, attempts, startsByOp.get(op) ?? [])),
    ...[...attemptsByOp].flatMap(([op, attempts]) => checkKey(op, attempts)),
    ...history.attempts.flatMap(attempt => checkAttempt(attempt, history, startsByOp, startsByRequest))
  ]
}

function checkOnce (op: string, attempts: readonly Attempt[], starts: readonly Start[]): Violation[] {
  if (starts.length <= 1 || attempts.every(attempt => attempt.idempotent)) return []
  return [{ rule: 'ran-twice', op, details: starts.map(start => start.target).join(', ') }]
}

function checkKey (op: string, attempts: readonly Attempt[]): Violation[] {
  const bodies = new Set<string>()
  for (const { key, reply } of attempts) {
    if (key !== undefined && reply.kind === 'answer' && reply.outcome === undefined) bodies.add(reply.body)
  }
  return bodies.size <= 1 ? [] : [{ rule: 'key-answers-differ', op, details: [...bodies].join(' | ') }]
}

function checkAttempt (attempt: Attempt, history: History, startsByOp: ReadonlyMap<string, Start[]>, startsByRequest: ReadonlyMap<string, Start[]>): Violation[] {
  const { reply, op } = attempt
  if (reply.kind === 'no-answer') {
    return history.faultyEntries.has(attempt.entry) ? [] : [{ rule: 'lost', op, details: `${attempt.entry}: ${reply.message}` }]
  }
  if (reply.outcome === 'not-run') return checkNotRun(attempt, reply.body, startsByRequest)
  if (reply.outcome === 'unknown') return []
  if (reply.outcome !== undefined || reply.status !== 200) return [{ rule: 'wrong-answer', op, details: `status ${reply.status} ${reply.body}` }]
  if (!startsByOp.has(op)) return [{ rule: 'answer-without-run', op, details: reply.body }]
  return isOwnWholeAnswer(attempt, reply.body) ? [] : [{ rule: 'wrong-answer', op, details: reply.body.slice(0, 200) }]
}

function checkNotRun (attempt: Attempt, body: string, startsByRequest: ReadonlyMap<string, Start[]>): Violation[] {
  const { requestId } = JSON.parse(body) as { requestId: string }
  const starts = startsByRequest.get(requestId) ?? []
  return starts.length === 0 ? [] : [{ rule: 'not-run-untrue', op: attempt.op, details: `${requestId} ran at ${starts[0]?.target ?? ''}` }]
}

function isOwnWholeAnswer (attempt: Attempt, body: string): boolean {
  try {
    const answer = JSON.parse(body) as { op: string, echo: string }
    return answer.op === attempt.op && answer.echo === attempt.sent
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
