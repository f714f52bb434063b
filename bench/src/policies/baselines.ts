import type { SimulatedExecutors } from '../executors.ts'
import type { SeededRandom } from '../random.ts'
import type { VirtualLoop } from '../virtual-loop.ts'
import { simulationParams, type BenchRequest, type SlotPolicy } from './policy.ts'

/** Body of one control message; `callOverheadBytes` comes on top. */
const CONTROL_MESSAGE_BYTES = 60
const GOSSIP_INTERVAL_MS = 100

/** Divides the slots among the entries once and never moves them. */
export class FixedSharePolicy implements SlotPolicy {
  readonly name = 'fixed-shares'
  private readonly freeSlots: number[][]
  private readonly queues: BenchRequest[][]
  private readonly executors: SimulatedExecutors
  private readonly loop: VirtualLoop
  private readonly arrivedAt = new Map<BenchRequest, number>()

  constructor (loop: VirtualLoop, executors: SimulatedExecutors) {
    this.loop = loop
    this.executors = executors
    this.freeSlots = Array.from({ length: simulationParams.entries }, () => [])
    this.queues = Array.from({ length: simulationParams.entries }, () => [])
    for (let slot = 0; slot < simulationParams.executors * simulationParams.slots; slot++) this.freeSlots[slot % simulationParams.entries]?.push(slot % simulationParams.executors)
  }

  submit (request: BenchRequest): void {
    this.arrivedAt.set(request, this.loop.now())
    this.queues[request.entry]?.push(request)
    this.dispatch(request.entry)
  }

  controlBytes (): number {
    return 0
  }

  private dispatch (entry: number): void {
    const ownSlots = this.freeSlots[entry] ?? []
    const queue = this.queues[entry] ?? []
    while (ownSlots.length > 0 && queue.length > 0) {
      const request = queue.shift() as BenchRequest
      if (this.loop.now() - (this.arrivedAt.get(request) ?? 0) > request.deadlineMs) {
        request.onEnd(false)
        continue
      }
      const executor = ownSlots.shift() as number
      this.executors.send(executor, {
        serviceMs: request.serviceMs,
        onStart: request.onStart,
        onEnd: () => {
          request.onEnd(true)
          ownSlots.push(executor)
          this.dispatch(entry)
        }
      })
    }
  }
}

/**
 * Power of two choices: sends each request to the less loaded of two random executors, by the loads that the entries last
 * gossiped.
 */
export class TwoChoicesPolicy implements SlotPolicy {
  readonly name = 'two-choices'
  private readonly ownLoads: number[][]
  /** Loads that each entry last gossiped, by entry and executor. */
  private readonly gossipedLoads: number[][]
  private readonly executors: SimulatedExecutors
  private readonly random: SeededRandom
  private sentBytes = 0

  constructor (loop: VirtualLoop, executors: SimulatedExecutors, random: SeededRandom) {
    this.executors = executors
    this.random = random
    this.ownLoads = Array.from({ length: simulationParams.entries }, () => new Array<number>(simulationParams.executors).fill(0))
    this.gossipedLoads = Array.from({ length: simulationParams.entries }, () => new Array<number>(simulationParams.executors).fill(0))
    loop.every(GOSSIP_INTERVAL_MS, () => {
      const snapshot = this.ownLoads.map(loads => [...loads])
      this.sentBytes += simulationParams.entries * (simulationParams.entries - 1) * (CONTROL_MESSAGE_BYTES + simulationParams.callOverheadBytes)
      loop.after(simulationParams.oneWayMs, () => snapshot.forEach((loads, entry) => { this.gossipedLoads[entry] = loads }))
    })
  }

  submit (request: BenchRequest): void {
    const [a, b] = [this.random.integerBelow(simulationParams.executors), this.random.integerBelow(simulationParams.executors)]
    const executor = this.estimateLoad(request.entry, a) <= this.estimateLoad(request.entry, b) ? a : b
    const entryLoads = this.ownLoads[request.entry] as number[]
    entryLoads[executor] = (entryLoads[executor] ?? 0) + 1
    this.executors.send(executor, {
      serviceMs: request.serviceMs,
      onStart: request.onStart,
      onEnd: () => {
        entryLoads[executor] = (entryLoads[executor] ?? 0) - 1
        request.onEnd(true)
      }
    })
  }

  controlBytes (): number {
    return this.sentBytes
  }

  private estimateLoad (entry: number, executor: number): number {
    const others = this.gossipedLoads.reduce((sum, loads, other) => sum + (other === entry ? 0 : loads[executor] ?? 0), 0)
    return others + (this.ownLoads[entry]?.[executor] ?? 0)
  }
}

/** Requests a slot from the pool's leader for every request and releases it with another message. */
export class MessagePerRequestPolicy implements SlotPolicy {
  readonly name = 'message-per-request'
  private readonly loop: VirtualLoop
  private readonly executors: SimulatedExecutors
  private readonly freeSlots: number[] = []
  private readonly waiting: Array<{ request: BenchRequest, since: number }> = []
  private sentBytes = 0

  constructor (loop: VirtualLoop, executors: SimulatedExecutors) {
    this.loop = loop
    this.executors = executors
    for (let slot = 0; slot < simulationParams.executors * simulationParams.slots; slot++) this.freeSlots.push(slot % simulationParams.executors)
  }

  submit (request: BenchRequest): void {
    const since = this.loop.now()
    this.sentBytes += CONTROL_MESSAGE_BYTES + simulationParams.callOverheadBytes
    this.loop.after(simulationParams.oneWayMs, () => {
      this.waiting.push({ request, since })
      this.dispatch()
    })
  }

  controlBytes (): number {
    return this.sentBytes
  }

  private dispatch (): void {
    while (this.freeSlots.length > 0 && this.waiting.length > 0) {
      const { request, since } = this.waiting.shift() as { request: BenchRequest, since: number }
      if (this.loop.now() - since > request.deadlineMs) {
        request.onEnd(false)
        continue
      }
      const executor = this.freeSlots.shift() as number
      this.loop.after(simulationParams.oneWayMs, () => this.executors.send(executor, {
        serviceMs: request.serviceMs,
        onStart: request.onStart,
        onEnd: () => {
          request.onEnd(true)
          this.sentBytes += CONTROL_MESSAGE_BYTES + simulationParams.callOverheadBytes
          this.loop.after(simulationParams.oneWayMs, () => {
            this.freeSlots.push(executor)
            this.dispatch()
          })
        }
      }))
    }
  }
}
