/** A request that waits. */
export interface Waiting {
  readonly tenant: string
  readonly deadlineAt: number
  readonly bytes: number
}

interface TenantLine<W> {
  readonly waiting: W[]
  /** Slot time used so far, in milliseconds over the tenant's quota. */
  usedTime: number
}

/** Fair queue between tenants: the next request comes from the tenant with the least slot time for its quota. */
export class ClassQueue<W extends Waiting> {
  private readonly lines = new Map<string, TenantLine<W>>()
  private readonly quota: (tenant: string) => number
  private floorTime = 0
  private length = 0

  /** @param quota - weight of a tenant */
  constructor (quota: (tenant: string) => number) {
    this.quota = quota
  }

  /** @returns how many wait */
  size (): number {
    return this.length
  }

  /**
   * @param tenant - name of a tenant
   * @returns how many of its requests wait
   */
  sizeOf (tenant: string): number {
    return this.lines.get(tenant)?.waiting.length ?? 0
  }

  /** @returns tenants with waiting requests */
  tenants (): string[] {
    return [...this.lines].filter(([, line]) => line.waiting.length > 0).map(([tenant]) => tenant)
  }

  /**
   * Adds a request at the end of its tenant's line. A tenant that was away starts level with the others.
   * @param request - to wait
   */
  push (request: W): void {
    const line = this.line(request.tenant)
    if (line.waiting.length === 0) line.usedTime = Math.max(line.usedTime, this.floorTime)
    line.waiting.push(request)
    this.length += 1
  }

  /** @returns the request to be served next, without taking it */
  peek (): W | undefined {
    return this.nextLine()?.waiting[0]
  }

  /**
   * Takes the next request and charges its tenant.
   * @param costMs - slot time it is expected to take
   */
  shift (costMs: number): W | undefined {
    const line = this.nextLine()
    const request = line?.waiting.shift()
    if (line === undefined || request === undefined) return undefined
    this.length -= 1
    this.floorTime = line.usedTime
    line.usedTime += costMs / this.quota(request.tenant)
    return request
  }

  /**
   * Corrects a tenant's account once the true time is known.
   * @param tenant - name of the tenant
   * @param deltaMs - true less expected slot time
   */
  correct (tenant: string, deltaMs: number): void {
    const line = this.lines.get(tenant)
    if (line !== undefined) line.usedTime += deltaMs / this.quota(tenant)
  }

  /**
   * Takes a request out of its line.
   * @param request - that no longer waits
   * @returns whether it was waiting
   */
  remove (request: W): boolean {
    const line = this.lines.get(request.tenant)
    const index = line?.waiting.indexOf(request) ?? -1
    if (line === undefined || index === -1) return false
    line.waiting.splice(index, 1)
    this.length -= 1
    return true
  }

  /**
   * @param now - by the clock of the deadlines
   * @returns a request whose deadline has passed
   */
  expired (now: number): W | undefined {
    for (const line of this.lines.values()) {
      const late = line.waiting.find(request => request.deadlineAt <= now)
      if (late !== undefined) return late
    }
    return undefined
  }

  private line (tenant: string): TenantLine<W> {
    const known = this.lines.get(tenant)
    if (known !== undefined) return known
    const line: TenantLine<W> = { waiting: [], usedTime: this.floorTime }
    this.lines.set(tenant, line)
    return line
  }

  private nextLine (): TenantLine<W> | undefined {
    let best: TenantLine<W> | undefined
    for (const line of this.lines.values()) {
      if (line.waiting.length === 0) continue
      if (best === undefined || line.usedTime < best.usedTime) best = line
    }
    return best
  }
}
