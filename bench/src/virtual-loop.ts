import type { Clock } from '@wisteriaslip/core.result'

/** Events of equal time run in the order in which they were scheduled. */
interface ScheduledEvent { readonly at: number, readonly order: number, readonly callback: () => void }

/** Event loop of a discrete-event simulation. It runs on a virtual clock, so a bench gives the same figures each time. */
export class VirtualLoop implements Clock {
  private readonly heap: ScheduledEvent[] = []
  private timeMs = 0
  private order = 0

  now (): number {
    return this.timeMs
  }

  /**
   * Schedules a callback once.
   * @param delayMs - virtual time until the call; a negative delay counts as 0
   * @param callback - called once the delay has passed
   */
  after (delayMs: number, callback: () => void): void {
    this.order += 1
    this.push({ at: this.timeMs + Math.max(0, delayMs), order: this.order, callback })
  }

  /**
   * Schedules a callback at regular intervals.
   * @param periodMs - virtual time before the first call and between calls
   * @param callback - called in every period
   */
  every (periodMs: number, callback: () => void): void {
    const runAndReschedule = (): void => {
      callback()
      this.after(periodMs, runAndReschedule)
    }
    this.after(periodMs, runAndReschedule)
  }

  /**
   * Runs events until the given time. Pending microtasks run after each event.
   * @param untilMs - virtual time at which to stop
   */
  async run (untilMs: number): Promise<void> {
    for (let event = this.pop(); event !== undefined && event.at <= untilMs; event = this.pop()) {
      this.timeMs = event.at
      event.callback()
      await settle()
    }
  }

  private push (event: ScheduledEvent): void {
    this.heap.push(event)
    let index = this.heap.length - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(this.at(index), this.at(parent))) return
      this.swap(index, parent)
      index = parent
    }
  }

  private pop (): ScheduledEvent | undefined {
    const top = this.heap[0]
    const last = this.heap.pop()
    if (top === undefined || last === undefined || top === last) return top
    this.heap[0] = last
    this.siftDown()
    return top
  }

  private siftDown (): void {
    let index = 0
    while (true) {
      const left = index * 2 + 1
      if (left >= this.heap.length) return
      const right = left + 1
      const child = right < this.heap.length && isBefore(this.at(right), this.at(left)) ? right : left
      if (!isBefore(this.at(child), this.at(index))) return
      this.swap(index, child)
      index = child
    }
  }

  private at (index: number): ScheduledEvent {
    return this.heap[index] as ScheduledEvent
  }

  private swap (a: number, b: number): void {
    const event = this.at(a)
    this.heap[a] = this.at(b)
    this.heap[b] = event
  }
}

/** Lets continuations of promises that an event resolved run before the next event. */
async function settle (): Promise<void> {
  for (let iteration = 0; iteration < 4; iteration++) await Promise.resolve()
}

function isBefore (a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order)
}
