/**
 * Bounded history of decisions, from which `explain` answers.
 * @module
 */
import type { Logger } from '@wisteriaslip/core.logger'

const MAX_SUBJECTS = 5_000
const KEPT_PER_SUBJECT = 20

/** Kinds of things that decisions are about. */
export const subjectKinds = { vm: 'vm', pool: 'pool', wave: 'wave', request: 'request', resource: 'resource', job: 'job' } as const

/** Kind of a decision's subject. */
export type SubjectKind = keyof typeof subjectKinds

/** One decision about a subject. */
export interface Decision {
  readonly at: string
  readonly kind: SubjectKind
  readonly name: string
  /** Stable upper-case code of the reason. */
  readonly reason: string
  readonly details: Readonly<Record<string, unknown>>
}

/** The latest decisions by subject. A decision that repeats the one before is not kept again. */
export class DecisionLog {
  private readonly bySubject = new Map<string, Decision[]>()
  private readonly logger: Logger

  /** @param logger - each new decision is also a log line */
  constructor (logger: Logger) {
    this.logger = logger
  }

  /**
   * Records a decision.
   * @param kind - of its subject
   * @param name - of its subject
   * @param reason - stable code
   * @param details - what it rests on
   */
  record (kind: SubjectKind, name: string, reason: string, details: Record<string, unknown> = {}): void {
    const key = `${kind}/${name}`
    const known = this.bySubject.get(key) ?? []
    const last = known.at(-1)
    if (last?.reason === reason && JSON.stringify(last.details) === JSON.stringify(details)) return
    known.push({ at: new Date().toISOString(), kind, name, reason, details })
    if (known.length > KEPT_PER_SUBJECT) known.shift()
    this.bySubject.delete(key)
    this.bySubject.set(key, known)
    this.logger.info({ kind, name, reason, ...details }, 'decided')
    const oldest = this.bySubject.keys().next()
    if (this.bySubject.size > MAX_SUBJECTS && oldest.done !== true) this.bySubject.delete(oldest.value)
  }

  /**
   * @param kind - of the subject
   * @param name - of the subject
   * @returns its latest decisions, oldest first
   */
  decisionsFor (kind: SubjectKind, name: string): readonly Decision[] {
    return this.bySubject.get(`${kind}/${name}`) ?? []
  }
}
