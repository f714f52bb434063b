import type { Executors } from '../executors.ts'
import type { Random } from '../random.ts'
import type { VirtualLoop } from '../virtual-loop.ts'
import { sizes, type BenchRequest, type SlotPolicy } from './policy.ts'

const REPORT_BYTES = 60
const GOSSIP_MS = 100

/** Each entry has its share of each executor's slots for good. */
export class FixedShares implements SlotPolicy {
  readonly name = 'fixed-shares'
  private readonly free: number[][]
  private readonly queues: BenchRequest[][]
  private readonly executors: Executors
  private readonly loop: VirtualLoop
  private readonly arrived = new Map<BenchRequest, number>()

  constructor (loop: VirtualLoop, executors: Executors) {
    this.loop = loop
    this.executors = executors
    this.free = Array.from({ length: sizes.entries }, () => [])
    this.queues = Array.from({ length: sizes.entries }, () => [])
    for (let slot = 0; slot < sizes.executors * sizes.slots; slot++) this.free[slot % sizes.entries]?.push(slot % sizes.executors)
  }

  submit (request: BenchRequest): void {
    this.arrived.set(request, this.loop.now())
    this.queues[request.entry]?.push(request)
    this.pump(request.entry)
  }

  controlBytes (): number {
    return 0
  }

  private pump (entry: number): void {
    const free = this.free[entry] ?? []
    const queue = this.queues[entry] ?? []
    while (free.length > 0 && queue.length > 0) {
      const request = queue.shift() as BenchRequest
      if (this.loop.now() - (this.arrived.get(request) ?? 0) > request.deadlineMs) {
        request.onEnd(false)
        continue
      }
      const executor = free.shift() as number
      this.executors.send(executor, {
        serviceMs: request.serviceMs,
        onStart: request.onStart,
        onEnd: () => {
          request.onEnd(true)
          free.push(executor)
          this.pump(entry)
        }
      })
    }
  }
}

/** Each request goes to the less loaded of two executors drawn at random, by what the entries last gossiped. */
export class TwoChoices implements SlotPolicy {
  readonly name = 'two-choices'
  private readonly own: number[][]
  private readonly told: number[][]
  private readonly executors: Executors
  private readonly random: Random
  private bytes = 0

  constructor (loop: VirtualLoop, executors: Executors, random: Random) {
    this.executors = executors
    this.random = random
    this.own = Array.from({ length: sizes.entries }, () => new Array<number>(sizes.executors).fill(0))
    this.told = Array.from({ length: sizes.entries }, () => new Array<number>(sizes.executors).fill(0))
    loop.every(GOSSIP_MS, () => {
      const snapshot = this.own.map(loads => [...loads])
      this.bytes += sizes.entries * (sizes.entries - 1) * (REPORT_BYTES + sizes.callOverheadBytes)
      loop.after(sizes.oneWayMs, () => snapshot.forEach((loads, entry) => { this.told[entry] = loads }))
    })
  }

  submit (request: BenchRequest): void {
    const [a, b] = [this.random.below(sizes.executors), this.random.below(sizes.executors)]
    const executor = this.guess(request.entry, a) <= this.guess(request.entry, b) ? a : b
    const own = this.own[request.entry] as number[]
    own[executor] = (own[executor] ?? 0) + 1
    this.executors.send(executor, {
      serviceMs: request.serviceMs,
      onStart: request.onStart,
      onEnd: () => {
        own[executor] = (own[executor] ?? 0) - 1
        request.onEnd(true)
      }
    })
  }

  controlBytes (): number {
    return this.bytes
  }

  private guess (entry: number, executor: number): number {
    const others = this.told.reduce((sum, loads, other) => sum + (other === entry ? 0 : loads[executor] ?? 0), 0)
    return others + (this.own[entry]?.[executor] ?? 0)
  }
}

/** Each request asks the pool's leader for a slot, and gives it back with another message. */
export class MessagePerRequest implements SlotPolicy {
  readonly name = 'message-per-request'
  private readonly loop: VirtualLoop
  private readonly executors: Executors
  private readonly free: number[] = []
  private readonly waiting: Array<{ request: BenchRequest, since: number }> = []
  private bytes = 0

  constructor (loop: VirtualLoop, executors: Executors) {
    this.loop = loop
    this.executors = executors
    for (let slot = 0; slot < sizes.executors * sizes.slots; slot++) this.free.push(slot % sizes.executors)
  }

  submit (request: BenchRequest): void {
    const since = this.loop.now()
    this.bytes += REPORT_BYTES + sizes.callOverheadBytes
    this.loop.after(sizes.oneWayMs, () => {
      this.waiting.push({ request, since })
      this.pump()
    })
  }

  controlBytes (): number {
    return this.bytes
  }

  private pump (): void {
    while (this.free.length > 0 && this.waiting.length > 0) {
      const { request, since } = this.waiting.shift() as { request: BenchRequest, since: number }
      if (this.loop.now() - since > request.deadlineMs) {
        request.onEnd(false)
        continue
      }
      const executor = this.free.shift() as number
      this.loop.after(sizes.oneWayMs, () => this.executors.send(executor, {
        serviceMs: request.serviceMs,
        onStart: request.onStart,
        onEnd: () => {
          request.onEnd(true)
          this.bytes += REPORT_BYTES + sizes.callOverheadBytes
          this.loop.after(sizes.oneWayMs, () => {
            this.free.push(executor)
            this.pump()
          })
        }
      }))
    }
  }
}
