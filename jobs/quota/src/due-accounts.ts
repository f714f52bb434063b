import type { Resources } from '@wisteriaslip/jobs.model'
import { isSame } from './resources.ts'

/** What an account looked like when nothing was to be changed although its tasks waited. */
interface Rest {
  readonly revision: number
  readonly use: Resources
}

/** Chooses the accounts to look at: marked ones, and all now and then. A full account is refused a task in each pass, and mostly nothing has changed. */
export class DueAccounts {
  private readonly intervalMs: number
  private readonly marked = new Set<string>()
  private readonly resting = new Map<string, Rest>()
  private allAt = -Infinity

  /** @param intervalMs - all accounts are looked at this often, in milliseconds */
  constructor (intervalMs: number) {
    this.intervalMs = intervalMs
  }

  /** @param account - name of an account that may need another part */
  mark (account: string): void {
    this.marked.add(account)
  }

  /**
   * @param all - names of all accounts
   * @param now - time of the injected clock
   * @param state - record's revision and use of an account
   * @returns names of those to look at now
   */
  take (all: () => Iterable<string>, now: number, state: (account: string) => Rest): string[] {
    if (now - this.allAt < this.intervalMs) return [...this.marked].filter(account => !this.rests(account, state))
    this.allAt = now
    this.resting.clear()
    return [...all()]
  }

  /**
   * Takes note of a look at an account. One with a change that is due stays marked until it is written.
   * @param account - its name
   * @param found - `isDue`: its part is to be written; `isWaiting`: its tasks wait; `state`: its state then
   */
  noteLook (account: string, found: { readonly isDue: boolean, readonly isWaiting: boolean, readonly state: Rest }): void {
    if (found.isDue) {
      this.marked.add(account)
      return
    }
    this.marked.delete(account)
    if (found.isWaiting) this.resting.set(account, found.state)
  }

  private rests (account: string, state: (account: string) => Rest): boolean {
    const rest = this.resting.get(account)
    if (rest === undefined) return false
    const { revision, use } = state(account)
    return revision === rest.revision && isSame(use, rest.use)
  }
}
