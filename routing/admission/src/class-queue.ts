/** A request waiting in a class queue. */
export interface QueueItem {
  readonly tenant: string
  /** When the caller stops waiting, in milliseconds by the queue's clock. */
  readonly deadlineAt: number
  readonly bytes: number
}

interface AccountQueue<W> {
  readonly waiting: W[]
  /** Slot time used so far, in milliseconds divided by the account's quota. */
  virtualTimeMs: number
}

/**
 * Weighted fair queue over client accounts: the next request is taken from the account that has used the least slot time
 * in relation to its quota.
 */
export class ClassQueue<W extends QueueItem> {
  private readonly accountQueues = new Map<string, AccountQueue<W>>()
  private readonly quota: (tenant: string) => number
  /** Virtual time of the account served last, at the time when it was served. */
  private systemVirtualTimeMs = 0
  private length = 0

  /** @param quota - weight of a client account */
  constructor (quota: (tenant: string) => number) {
    this.quota = quota
  }

  /** @returns number of waiting requests */
  size (): number {
    return this.length
  }

  /**
   * @param tenant - name of a client account
   * @returns number of its waiting requests
   */
  sizeOf (tenant: string): number {
    return this.accountQueues.get(tenant)?.waiting.length ?? 0
  }

  /** @returns names of client accounts with waiting requests */
  waitingAccounts (): string[] {
    return [...this.accountQueues].filter(([, accountQueue]) => accountQueue.waiting.length > 0).map(([tenant]) => tenant)
  }

  /**
   * Appends a request to its client account's queue. An account that had no waiting requests starts at least
   * at the system virtual time, so that it cannot save up slot time while idle.
   * @param request - to be queued
   */
  push (request: W): void {
    const accountQueue = this.getOrCreateAccountQueue(request.tenant)
    if (accountQueue.waiting.length === 0) accountQueue.virtualTimeMs = Math.max(accountQueue.virtualTimeMs, this.systemVirtualTimeMs)
    accountQueue.waiting.push(request)
    this.length += 1
  }

  /** @returns the request to be served next, without removing it */
  peek (): W | undefined {
    return this.nextAccountQueue()?.waiting[0]
  }

  /**
   * Removes the request to be served next and charges its client account.
   * @param costMs - slot time that the request is expected to use, in milliseconds
   * @returns the request, or undefined if none is waiting
   */
  shift (costMs: number): W | undefined {
    const accountQueue = this.nextAccountQueue()
    const request = accountQueue?.waiting.shift()
    if (accountQueue === undefined || request === undefined) return undefined
    this.length -= 1
    this.systemVirtualTimeMs = accountQueue.virtualTimeMs
    accountQueue.virtualTimeMs += costMs / this.quota(request.tenant)
    return request
  }

  /**
   * Corrects the charge to a client account once the actual slot time of a request is known.
   * @param tenant - name of the client account
   * @param deltaMs - actual minus expected slot time, in milliseconds
   */
  correctCharge (tenant: string, deltaMs: number): void {
    const accountQueue = this.accountQueues.get(tenant)
    if (accountQueue !== undefined) accountQueue.virtualTimeMs += deltaMs / this.quota(tenant)
  }

  /**
   * Removes a request that should no longer wait.
   * @param request - to be removed
   * @returns whether it was waiting
   */
  remove (request: W): boolean {
    const accountQueue = this.accountQueues.get(request.tenant)
    const index = accountQueue?.waiting.indexOf(request) ?? -1
    if (accountQueue === undefined || index === -1) return false
    accountQueue.waiting.splice(index, 1)
    this.length -= 1
    return true
  }

  /**
   * @param now - current time in milliseconds, by the clock of the deadlines
   * @returns a request whose deadline has passed, or undefined if there is none
   */
  findExpired (now: number): W | undefined {
    for (const accountQueue of this.accountQueues.values()) {
      const expired = accountQueue.waiting.find(request => request.deadlineAt <= now)
      if (expired !== undefined) return expired
    }
    return undefined
  }

  private getOrCreateAccountQueue (tenant: string): AccountQueue<W> {
    const existing = this.accountQueues.get(tenant)
    if (existing !== undefined) return existing
    const accountQueue: AccountQueue<W> = { waiting: [], virtualTimeMs: this.systemVirtualTimeMs }
    this.accountQueues.set(tenant, accountQueue)
    return accountQueue
  }

  private nextAccountQueue (): AccountQueue<W> | undefined {
    let best: AccountQueue<W> | undefined
    for (const accountQueue of this.accountQueues.values()) {
      if (accountQueue.waiting.length === 0) continue
      if (best === undefined || accountQueue.virtualTimeMs < best.virtualTimeMs) best = accountQueue
    }
    return best
  }
}
