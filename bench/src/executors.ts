import type { VirtualLoop } from './virtual-loop.ts'

interface Work { readonly serviceMs: number, readonly onStart: () => void, readonly onEnd: () => void }

/** Executors that run what they get; more than their slots count as an overrun and wait there. */
export class Executors {
  overruns = 0
  private readonly loop: VirtualLoop
  private readonly slots: number
  private readonly oneWayMs: number
  private readonly running: number[]
  private readonly queues: Work[][]

  constructor (loop: VirtualLoop, opts: { count: number, slots: number, oneWayMs: number }) {
    this.loop = loop
    this.slots = opts.slots
    this.oneWayMs = opts.oneWayMs
    this.running = new Array<number>(opts.count).fill(0)
    this.queues = Array.from({ length: opts.count }, () => [])
  }

  /** Sends work to an executor; it arrives after the way there, and its end is heard after the way back. */
  send (executor: number, work: Work): void {
    this.loop.after(this.oneWayMs, () => {
      if ((this.running[executor] ?? 0) >= this.slots) {
        this.overruns += 1
        this.queues[executor]?.push(work)
        return
      }
      this.start(executor, work)
    })
  }

  private start (executor: number, work: Work): void {
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
