import type { Clock } from '@wisteriaslip/core.result'

interface Event { readonly at: number, readonly order: number, readonly run: () => void }

/** Runs events in the order of a clock of its own, so that a bench gives the same figures each time. */
export class VirtualLoop implements Clock {
  private readonly heap: Event[] = []
  private time = 0
  private order = 0

  now (): number {
    return this.time
  }

  /**
   * @param delayMs - from now
   * @param run - what happens then
   */
  after (delayMs: number, run: () => void): void {
    this.order += 1
    this.push({ at: this.time + Math.max(0, delayMs), order: this.order, run })
  }

  /**
   * @param periodMs - between two runs
   * @param run - what happens
   */
  every (periodMs: number, run: () => void): void {
    const again = (): void => {
      run()
      this.after(periodMs, again)
    }
    this.after(periodMs, again)
  }

  /** @param untilMs - time at which to stop */
  async run (untilMs: number): Promise<void> {
    for (let event = this.pop(); event !== undefined && event.at <= untilMs; event = this.pop()) {
      this.time = event.at
      event.run()
      await settle()
    }
  }

  private push (event: Event): void {
    this.heap.push(event)
    let index = this.heap.length - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!before(this.at(index), this.at(parent))) return
      this.swap(index, parent)
      index = parent
    }
  }

  private pop (): Event | undefined {
    const top = this.heap[0]
    const last = this.heap.pop()
    if (top === undefined || last === undefined || top === last) return top
    this.heap[0] = last
    this.sink()
    return top
  }

  private sink (): void {
    let index = 0
    while (true) {
      const left = index * 2 + 1
      if (left >= this.heap.length) return
      const right = left + 1
      const child = right < this.heap.length && before(this.at(right), this.at(left)) ? right : left
      if (!before(this.at(child), this.at(index))) return
      this.swap(index, child)
      index = child
    }
  }

  private at (index: number): Event {
    return this.heap[index] as Event
  }

  private swap (a: number, b: number): void {
    const event = this.at(a)
    this.heap[a] = this.at(b)
    this.heap[b] = event
  }
}

/** Lets promises that the event resolved run their course. */
async function settle (): Promise<void> {
  for (let turn = 0; turn < 4; turn++) await Promise.resolve()
}

function before (a: Event, b: Event): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order)
}
