import { VirtualPart, type PartEvent } from './virtual-part.ts'

/** Something that happens at a time, in the order in which it was scheduled if times are equal. */
interface ScheduledEvent extends PartEvent {
  readonly at: number
  readonly order: number
}

type TimerGlobals = Pick<typeof globalThis, 'setTimeout' | 'clearTimeout' | 'setImmediate' | 'clearImmediate'>

/**
 * The event loop of one process with a small processor, on a virtual clock. While installed, it takes the place of the
 * global timers and of `performance.now`. As in Node.js, each turn of the loop runs the due timers, then reads what has
 * arrived at its sockets, then runs the immediates. Work that the process does moves the clock; what happens outside of
 * the process does so at its own time meanwhile. Several programs can share the loop as its parts, each of which can be
 * frozen and killed. Between two callbacks all promises have been continued, so that the part of the callback owns all
 * that begins meanwhile.
 */
export class VirtualProcess {
  private timeMs = 0
  private order = 0
  private readonly outside: ScheduledEvent[] = []
  private readonly timers: ScheduledEvent[] = []
  private readonly received: PartEvent[] = []
  private readonly immediates: PartEvent[] = []
  /** Part whose callback runs. */
  private owner: VirtualPart | undefined
  private readonly originals: TimerGlobals
  private readonly originalNow = performance.now

  constructor () {
    const { setTimeout, clearTimeout, setImmediate, clearImmediate } = globalThis
    this.originals = { setTimeout, clearTimeout, setImmediate, clearImmediate }
  }

  /** @returns virtual time in milliseconds */
  now (): number {
    return this.timeMs
  }

  /** Replaces the global timers. */
  install (): void {
    performance.now = () => this.timeMs
    Object.assign(globalThis, {
      setTimeout: (callback: () => void, ms = 0) => this.addTimer(callback, ms),
      clearTimeout: (timer: ScheduledEvent | undefined) => { removeFrom(this.timers, timer) },
      setImmediate: (callback: () => void) => this.addImmediate(callback),
      clearImmediate: (immediate: PartEvent | undefined) => { removeFrom(this.immediates, immediate) }
    })
  }

  /** Restores the global timers. */
  uninstall (): void {
    performance.now = this.originalNow
    Object.assign(globalThis, this.originals)
  }

  /**
   * Spends processor time of the process.
   * @param ms - time for which the process is busy, in milliseconds
   */
  work (ms: number): void {
    this.advance(this.timeMs + ms)
  }

  /**
   * Schedules something outside of the process.
   * @param delayMs - virtual time from now
   * @param callback - called on time, whatever the process does
   */
  outsideAfter (delayMs: number, callback: () => void): void {
    this.order += 1
    insert(this.outside, { at: this.timeMs + delayMs, order: this.order, callback, owner: undefined })
  }

  /**
   * Delivers something to the process: it is handled in the next turn that reads sockets.
   * @param callback - handles it
   */
  deliver (callback: () => void): void {
    this.received.push({ callback, owner: undefined })
  }

  /** @returns a new part, which runs whatever is delivered to it, and the timers that it sets */
  createPart (): VirtualPart {
    return new VirtualPart(event => { this.received.push(event) })
  }

  /**
   * Runs the loop.
   * @param untilMs - virtual time at which to stop
   */
  async run (untilMs: number): Promise<void> {
    while (this.timeMs < untilMs) {
      const didWork = await this.runTurn()
      if (!didWork) this.advance(Math.min(untilMs, this.outside[0]?.at ?? untilMs, this.timers[0]?.at ?? untilMs))
    }
  }

  private async runTurn (): Promise<boolean> {
    const startedAt = this.timeMs
    const timers = await this.handleFirst(this.timers, ({ at }) => at <= startedAt, { most: Infinity, putBack: timer => insert(this.timers, timer) })
    const received = await this.handleFirst(this.received, () => true, { most: this.received.length, putBack: event => this.received.push(event) })
    const immediates = await this.handleFirst(this.immediates, () => true, { most: this.immediates.length, putBack: event => this.immediates.push(event) })
    return timers + received + immediates > 0
  }

  /** Handles items from the head of a queue while they are due; what is added meanwhile waits, once `most` are handled. */
  private async handleFirst<T extends PartEvent> (queue: T[], isDue: (item: T) => boolean, { most, putBack }: { most: number, putBack: (item: T) => void }): Promise<number> {
    let handled = 0
    for (let item = queue[0]; item !== undefined && handled < most && isDue(item); item = queue[0]) {
      const next = item
      queue.shift()
      if (next.owner?.admits(() => putBack(next)) !== false) await this.handle(next)
      handled += 1
    }
    return handled
  }

  /** Runs one callback and the continuations of the promises that it settled. */
  private async handle (event: PartEvent): Promise<void> {
    this.owner = event.owner
    event.callback()
    await new Promise<void>(resolve => { this.originals.setImmediate(resolve) })
    this.owner = undefined
  }

  private advance (toMs: number): void {
    while (this.outside[0] !== undefined && this.outside[0].at <= toMs) {
      const event = this.outside.shift() as ScheduledEvent
      this.timeMs = Math.max(this.timeMs, event.at)
      event.callback()
    }
    this.timeMs = Math.max(this.timeMs, toMs)
  }

  private addTimer (callback: () => void, ms: number): ScheduledEvent & { unref (): void } {
    this.order += 1
    const timer = { at: this.timeMs + Math.max(1, ms), order: this.order, callback, owner: this.owner, unref: () => {} }
    insert(this.timers, timer)
    return timer
  }

  private addImmediate (callback: () => void): PartEvent {
    const immediate = { callback, owner: this.owner }
    this.immediates.push(immediate)
    return immediate
  }
}

function insert (events: ScheduledEvent[], event: ScheduledEvent): void {
  let at = events.length
  while (at > 0 && isAfter(events[at - 1] as ScheduledEvent, event)) at -= 1
  events.splice(at, 0, event)
}

function isAfter (a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.at > b.at || (a.at === b.at && a.order > b.order)
}

function removeFrom<T> (list: T[], item: T | undefined): void {
  const at = item === undefined ? -1 : list.indexOf(item)
  if (at >= 0) list.splice(at, 1)
}
