import type { AccountShares, Claim } from './account-shares.ts'
import type { AccountUse } from './account-use.ts'
import { compareInAccount, isSameRank, type StepPriority } from './step-priority.ts'
import { mayStart, type TrackedStep } from './tracked-job.ts'

/** A step whose tasks come next. */
export interface Turn {
  readonly step: TrackedStep
  /** Number of tasks to start; then others may come first. A gang is started whole. */
  readonly maxTasks: number
}

/** The steps of one account that rank alike but for their account, in order. */
interface Line {
  readonly claim: Claim
  readonly steps: TrackedStep[]
  next: number
  level: number
}

/** Options of {@link takeTurns}. */
export interface TurnOpts {
  /** Returns the rank of a step. */
  readonly priorityOf: (step: TrackedStep) => StepPriority
  /** Use of the client accounts; undefined where there are none. */
  readonly shares: AccountShares | undefined
  /** Returns false if no task of a step can be placed, now or at a later turn: it gets none. */
  readonly mayFit?: (step: TrackedStep) => boolean
}

/**
 * Yields steps in the order in which their tasks are to be placed. Among those that rank alike but for their account, the account that uses
 * least of the room, relative to its weight, comes next; what was started since the previous turn counts at once.
 * @param sorted - steps in the order in which they come without regard to accounts
 * @param opts - ranks and accounts
 * @returns the turns; with unknown accounts only, the steps as they are
 */
export function * takeTurns (sorted: readonly TrackedStep[], opts: TurnOpts): Generator<Turn> {
  const { shares } = opts
  const claims = shares?.claims(sorted)
  if (shares === undefined || claims === undefined) {
    for (const step of sorted) yield whole(step)
    return
  }
  for (let start = 0, end = 0; start < sorted.length; start = end) {
    end = endOfRank(sorted, start, opts)
    if (opts.priorityOf(sorted[start] as TrackedStep).lasting > 0) yield * alternate(toLines(sorted, { start, end, claims, shares }), shares, opts)
    else for (let at = start; at < end; at++) yield whole(sorted[at] as TrackedStep)
  }
}

function whole (step: TrackedStep): Turn {
  return { step, maxTasks: Infinity }
}

/** Returns the position after the last step that ranks like the one at `start` but for its account. */
function endOfRank (sorted: readonly TrackedStep[], start: number, { priorityOf }: TurnOpts): number {
  const rank = priorityOf(sorted[start] as TrackedStep)
  let low = start + 1
  for (let high = sorted.length; low < high;) {
    const middle = (low + high) >> 1
    if (isSameRank(rank, priorityOf(sorted[middle] as TrackedStep))) low = middle + 1
    else high = middle
  }
  return low
}

function toLines (sorted: readonly TrackedStep[], opts: { start: number, end: number, claims: ReadonlyMap<AccountUse, Claim>, shares: AccountShares }): Line[] {
  const lines = new Map<AccountUse, Line>()
  for (let at = opts.start; at < opts.end; at++) {
    const step = sorted[at] as TrackedStep
    const use = step.job.use as AccountUse
    const line = lines.get(use)
    if (line !== undefined) {
      line.steps.push(step)
      continue
    }
    const claim = opts.claims.get(use) as Claim
    lines.set(use, { claim, steps: [step], next: 0, level: opts.shares.levelOf(claim) })
  }
  return [...lines.values()]
}

function * alternate (lines: Line[], shares: AccountShares, { priorityOf, mayFit }: TurnOpts): Generator<Turn> {
  const precedes = (a: Line, b: Line): boolean => (a.level - b.level || compareInAccount(priorityOf(stepOf(a)), priorityOf(stepOf(b)))) < 0
  for (let at = lines.length >> 1; at >= 0; at--) sink(lines, at, precedes)
  while (lines.length > 0) {
    const line = lines[0] as Line
    const { claim } = line
    const step = stepOf(line)
    const runsBefore = claim.use.runs
    const maxTasks = lines.length === 1 ? Infinity : shares.tasksToNextLevel(claim, step)
    if (mayFit?.(step) !== false) yield { step, maxTasks }
    const started = claim.use.runs - runsBefore
    if (started > 0) line.level = shares.levelOf(claim)
    if (started < maxTasks || step.spec.gang || !mayStart(step)) advance(line, mayFit)
    if (line.next >= line.steps.length) removeFirst(lines)
    sink(lines, 0, precedes)
  }
}

function stepOf (line: Line): TrackedStep {
  return line.steps[line.next] as TrackedStep
}

/** Goes on to the next step of a line that may fit. */
function advance (line: Line, mayFit: TurnOpts['mayFit']): void {
  do line.next += 1
  while (line.next < line.steps.length && mayFit?.(stepOf(line)) === false)
}

/** Removes the first of a heap; the new first one has yet to sink. */
function removeFirst (heap: Line[]): void {
  const last = heap.pop()
  if (last !== undefined && heap.length > 0) heap[0] = last
}

/** Moves a member of a binary heap down to its place. */
function sink (heap: Line[], from: number, precedes: (a: Line, b: Line) => boolean): void {
  const line = heap[from]
  if (line === undefined) return
  let at = from
  for (let child = 2 * at + 1; child < heap.length; child = 2 * at + 1) {
    const right = heap[child + 1]
    if (right !== undefined && precedes(right, heap[child] as Line)) child += 1
    const first = heap[child] as Line
    if (!precedes(first, line)) break
    heap[at] = first
    at = child
  }
  heap[at] = line
}
