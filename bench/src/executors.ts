import type { VirtualLoop } from './virtual-loop.ts'

interface WorkItem { readonly serviceMs: number, readonly onStart: () => void, readonly onEnd: () => void }

/** Simulated executors. Work beyond an executor's slots counts as an overrun and waits in a queue at the executor. */
export class SimulatedExecutors {
  overruns = 0
  private readonly loop: VirtualLoop
  private readonly slots: number
  private readonly oneWayMs: number
  private readonly running: number[]
  private readonly queues: WorkItem[][]

  constructor (loop: VirtualLoop, opts: { count: number, slots: number, oneWayMs: number }) {
    this.loop = loop
    this.slots = opts.slots
    this.oneWayMs = opts.oneWayMs
    this.running = new Array<number>(opts.count).fill(0)
    this.queues = Array.from({ length: opts.count }, () => [])
  }

  /** Sends work to an executor. It arrives after one network delay, and the sender is notified one delay after it ends. */
  send (executor: number, work: WorkItem): void {
    this.loop.after(this.oneWayMs, () => {
      if ((this.running[executor] ?? 0) >= this.slots) {
        this.overruns += 1
        this.queues[executor]?.push(work)
        return
      }
      this.start(executor, work)
    })
  }

  private start (executor: number, work: WorkItem): void {
    this.running[executor] = (this.running[executor] ?? 0) + 1
    work.onStart()
    this.loop.after(work.serviceMs, () => {
      this.running[executor] = (this.running[executor] ?? 0) - 1
      this.loop.after(this.oneWayMs, work.onEnd)
      const next = this.queues[executor]?.shift()
      if (next !== undefined) this.start(executor, next)
    })
  }
}
