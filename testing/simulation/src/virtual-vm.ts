import type { Resources, Vm } from '@wisteriaslip/jobs.model'
import type { Incarnation, WorkerMachine } from './worker-machine.ts'

/** Share of full speed at which the clock of a worker may run, at least. */
const MIN_CLOCK_RATE = 0.98
const RACKS = 4

/** VMs of one service, or of one that is powered off. */
export interface VirtualPool {
  readonly name: string
  readonly vms: number
  readonly standby?: boolean
}

/** A VM of a pool, on which one worker after the other runs. */
export class VirtualVm implements WorkerMachine {
  readonly vm: string
  readonly rack: string
  readonly clockRate: number
  readonly capacity: Resources
  pool: string
  incarnation: Incarnation | undefined
  dark = false
  mute = false
  postponed: Array<() => void> | undefined
  refusesConnections = false
  /** What the platform does with it, or has found. */
  state: Vm['state'] = 'up'
  listedAs: WorkerMachine['listedAs'] = 'up'
  /** It does not return. */
  gone = false
  /** Its worker does not reach the store. */
  cutFromStore = false
  /** Its worker has announced that it will leave. */
  draining = false
  /** Grows whenever the VM gets another worker or loses its worker: what was planned for the one before is void. */
  generation = 0

  /**
   * @param number - number of the VM
   * @param opts - first pool, and share of its clock's range in hundredths
   */
  constructor (number: number, opts: { pool: string, capacity: Resources, clockStep: number }) {
    this.vm = `vm${number}`
    this.rack = `r${number % RACKS}`
    this.pool = opts.pool
    this.capacity = opts.capacity
    this.clockRate = MIN_CLOCK_RATE + opts.clockStep / 100
  }

  /** @returns whether it may be moved or maintained now */
  isAvailable (): boolean {
    return !this.gone && this.state === 'up' && !this.draining
  }

  /** @returns whether its worker, if it has one, carries out orders, answers them and stays */
  isSound (): boolean {
    return this.state === 'up' && !this.gone && !this.draining && !this.dark && !this.mute && this.postponed === undefined
  }

  /** @returns the VM as the platform lists it, undefined if it does not */
  listed (): Vm | undefined {
    if (this.listedAs === 'absent') return undefined
    const state = this.state === 'down' && this.listedAs === 'up' ? 'up' : this.state
    return { id: this.vm, pool: this.pool, state, zone: 'z', rack: this.rack, labels: [this.rack], capacity: this.capacity, worker: this.incarnation?.registration.id ?? '' }
  }
}
