import { err, ok, type Result } from '@wisteriaslip/core.result'
import type { Change, Guard, Store, StoreError, Versioned } from '@wisteriaslip/store.client'

/** What happens to the next write: it is applied without a response, applied later without one, or not made. */
export const faults = { none: 0, replyLost: 1, late: 2, away: 3 } as const

/** A store whose writes can be lost or late. Its calls take no time. */
export class QuotaStore {
  readonly docs = new Map<string, Versioned>()
  revision = 1
  writes = 0
  reads = 0
  nextFault: number = faults.none
  /** Called before each write is applied. */
  beforeWrite: () => void = () => {}
  private late: Array<() => void> = []

  /** @returns the store as the product uses it */
  asStore (): Store {
    return this as unknown as Store
  }

  /**
   * @param isReached - whether the caller reaches it now
   * @returns the store as one caller sees it
   */
  reachedIf (isReached: () => boolean): Store {
    const reached = <T extends unknown[], R>(call: (...args: T) => Promise<R>) => async (...args: T) => isReached() ? await call(...args) : unavailable(false)
    return { get: reached(async (key: string) => await this.get(key)), list: reached(async (prefix: string) => await this.list(prefix)), update: reached(async (...args: Parameters<QuotaStore['update']>) => await this.update(...args)) } as unknown as Store
  }

  /** Carries out a write that was delayed. */
  applyLate (): void {
    this.late.shift()?.()
  }

  put (key: string, value: unknown): number {
    this.revision += 1
    const createRevision = this.docs.get(key)?.createRevision ?? this.revision
    this.docs.set(key, { key, value, createRevision, modRevision: this.revision, writeIds: [] })
    return this.revision
  }

  async get (key: string): Promise<Result<Versioned | undefined, StoreError>> {
    this.reads += 1
    return this.nextFault === faults.away ? unavailable(false) : ok(this.docs.get(key))
  }

  async list (prefix: string) {
    this.reads += 1
    if (this.nextFault === faults.away) return unavailable(false)
    const docs = [...this.docs.values()].filter(doc => doc.key.startsWith(prefix))
    return ok({ revision: this.revision, count: docs.length, docs, undecodable: [] })
  }

  async update (changes: readonly Change[], { guards = [] }: { guards?: readonly Guard[] } = {}): Promise<Result<number, StoreError>> {
    const fault = this.nextFault
    if (fault === faults.away) return unavailable(false)
    this.nextFault = faults.none
    this.writes += 1
    if (fault === faults.late) {
      this.late.push(() => this.apply(changes, guards))
      return unavailable(true)
    }
    this.beforeWrite()
    const applied = this.apply(changes, guards)
    if (fault === faults.replyLost) return unavailable(true)
    return applied ? ok(this.revision) : err({ kind: 'conflict', code: 'STORE_CONFLICT', message: 'changed' })
  }

  private apply (changes: readonly Change[], guards: readonly Guard[]): boolean {
    const guarded = guards.every(guard => this.docs.get(guard.key)?.createRevision === guard.createRevision)
    if (!guarded || !changes.every(change => this.matches(change))) return false
    this.revision += 1
    for (const { key, value } of changes) {
      this.docs.set(key, { key, value, createRevision: this.docs.get(key)?.createRevision ?? this.revision, modRevision: this.revision, writeIds: [] })
    }
    return true
  }

  /** Mutations replace it: whether nobody has changed the key since. */
  matches ({ key, prior }: Change): boolean {
    return (this.docs.get(key)?.modRevision ?? 0) === (prior?.modRevision ?? 0)
  }
}

function unavailable (maybeApplied: boolean): Result<never, StoreError> {
  return err({ kind: 'unavailable', code: 'STORE_UNAVAILABLE', maybeApplied, message: 'no response' })
}
