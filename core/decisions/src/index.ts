/**
 * Bounded history of decisions, which `explain` reports.
 * @module
 */
import type { Logger } from '@wisteriaslip/core.logger'

const MAX_SUBJECTS = 5_000
const MAX_DECISIONS_PER_SUBJECT = 20

/** Kinds of subjects that can be queried; decisions are recorded for `vm`, `pool` and `wave`. */
export const subjectKinds = { vm: 'vm', pool: 'pool', wave: 'wave', request: 'request', resource: 'resource', job: 'job' } as const

/** Kind of the subject of a decision. */
export type SubjectKind = keyof typeof subjectKinds

/** One decision about a subject. */
export interface Decision {
  /** Time of the decision, as an ISO 8601 string. */
  readonly at: string
  readonly kind: SubjectKind
  readonly name: string
  /** Stable upper-case code of the reason. */
  readonly reason: string
  readonly details: Readonly<Record<string, unknown>>
}

/** Latest decisions by subject. A decision that repeats the previous one is not recorded. */
export class DecisionLog {
  private readonly bySubject = new Map<string, Decision[]>()
  private readonly logger: Logger

  /** @param logger - logger to which each recorded decision is written */
  constructor (logger: Logger) {
    this.logger = logger
  }

  /**
   * Records a decision.
   * @param kind - kind of the subject
   * @param name - name of the subject
   * @param reason - stable upper-case code of the reason
   * @param details - facts that the decision is based on
   */
  record (kind: SubjectKind, name: string, reason: string, details: Record<string, unknown> = {}): void {
    const key = `${kind}/${name}`
    const history = this.bySubject.get(key) ?? []
    const last = history.at(-1)
    if (last?.reason === reason && JSON.stringify(last.details) === JSON.stringify(details)) return
    history.push({ at: new Date().toISOString(), kind, name, reason, details })
    if (history.length > MAX_DECISIONS_PER_SUBJECT) history.shift()
    this.bySubject.delete(key)
    this.bySubject.set(key, history)
    this.logger.info({ kind, name, reason, ...details }, 'decision recorded')
    const oldest = this.bySubject.keys().next()
    if (this.bySubject.size > MAX_SUBJECTS && oldest.done !== true) this.bySubject.delete(oldest.value)
  }

  /**
   * @param kind - kind of the subject
   * @param name - name of the subject
   * @returns its latest decisions, oldest first
   */
  decisionsFor (kind: SubjectKind, name: string): readonly Decision[] {
    return this.bySubject.get(`${kind}/${name}`) ?? []
  }
}
