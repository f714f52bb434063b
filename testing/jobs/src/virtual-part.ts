/** A callback that waits in a process, and the part that it belongs to. */
export interface PartEvent {
  readonly callback: () => void
  readonly owner: VirtualPart | undefined
}

/** A program in a `VirtualProcess`, which can be frozen and killed without the others. */
export class VirtualPart {
  private state: 'running' | 'frozen' | 'killed' = 'running'
  private held: Array<() => void> = []
  private readonly send: (event: PartEvent) => void

  /**
   * @param send - hands an event to the process
   */
  constructor (send: (event: PartEvent) => void) {
    this.send = send
  }

  /**
   * Delivers something to this part: it is handled in the next turn that reads sockets, or once the part is thawed.
   * @param callback - handles it
   */
  deliver (callback: () => void): void {
    this.send({ callback, owner: this })
  }

  /** Holds all callbacks of this part until it is thawed. The clock goes on. */
  freeze (): void {
    if (this.state === 'running') this.state = 'frozen'
  }

  /** Lets a frozen part go on: with the timers that are due, then with what has arrived. */
  thaw (): void {
    if (this.state !== 'frozen') return
    this.state = 'running'
    for (const putBack of this.held.splice(0)) putBack()
  }

  /** Drops all callbacks of this part, for good. */
  kill (): void {
    this.state = 'killed'
    this.held = []
  }

  /**
   * @param putBack - puts an event back that is due; called when the part is thawed, if it is frozen
   * @returns whether the event may be handled now
   */
  admits (putBack: () => void): boolean {
    if (this.state === 'frozen') this.held.push(putBack)
    return this.state === 'running'
  }
}
