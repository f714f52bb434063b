import type { Vm, WorkerClient, WorkerRegistration } from '@wisteriaslip/jobs.model'
import type { VirtualProcess } from '@wisteriaslip/testing.jobs'
import { Incarnation, WorkerCalls, WorkerRuns, type Draw, type RunHistory, type TaskDemand, type WorkerLink, type WorkerMachine } from '@wisteriaslip/testing.simulation'

const RACKS = 3
const CAPACITY = { cpu: 8_000, memMb: 64_000, accelerators: 0 }
/** Share of full speed at which the clock of a worker may run. */
const MIN_CLOCK_RATE = 0.98
const REGISTRATION_LOST_AFTER_MS = 1_500

/** Workers of one service whose machines crash and go dark, and that carry orders out late or without a response. */
export class FaultyWorkers {
  /** Machines by VM. */
  readonly machines = new Map<string, WorkerMachine>()
  readonly registered = new Map<string, WorkerRegistration>()
  /** The network to the workers, with its faults. */
  readonly calls: WorkerCalls
  onRegistrations: () => void = () => {}
  private readonly process: VirtualProcess
  private readonly draw: Draw
  private readonly runs: WorkerRuns
  private incarnations = 0

  constructor (process: VirtualProcess, opts: { machines: number, draw: Draw, demandOf: (task: string) => TaskDemand }) {
    this.process = process
    this.draw = opts.draw
    this.runs = new WorkerRuns(process, opts)
    this.calls = new WorkerCalls(process, { runs: this.runs, draw: opts.draw, machineAt: host => this.machine(host) })
    for (let number = 0; number < opts.machines; number++) {
      const vm = `vm${number}`
      this.machines.set(vm, { vm, clockRate: MIN_CLOCK_RATE + opts.draw(3) / 100, incarnation: undefined, dark: false, mute: false, postponed: undefined, listedAs: 'up', refusesConnections: false })
      this.boot(vm, undefined)
    }
  }

  /** What ran on the workers. */
  get history (): RunHistory {
    return this.runs.history
  }

  /** @returns incarnations that are up and in touch */
  reachable (): Incarnation[] {
    return [...this.machines.values()].flatMap(({ incarnation, dark }) => incarnation === undefined || dark ? [] : [incarnation])
  }

  /** @returns the machines as the platform lists them */
  list (): Vm[] {
    const listed = [...this.machines.values()].filter(({ listedAs }) => listedAs !== 'absent')
    return listed.map(({ vm, incarnation, listedAs }) => ({ id: vm, pool: 's', state: listedAs === 'down' ? 'down' : 'up', zone: 'z', rack: `r${Number(vm.slice(2)) % RACKS}`, labels: [], capacity: CAPACITY, worker: incarnation?.registration.id ?? '' }))
  }

  /** Crashes the worker of a machine, if it has one. Without `backMs` it is lost for good. `listedAs` says how its VM is listed then. */
  crash (vm: string, opts: { backMs?: number, sameId: boolean, listedAs?: WorkerMachine['listedAs'] }): void {
    const machine = this.machine(vm)
    const { incarnation } = machine
    if (incarnation === undefined) return
    this.runs.crash(incarnation)
    machine.incarnation = undefined
    machine.listedAs = opts.listedAs ?? this.drawListing(opts)
    machine.refusesConnections = this.draw(2) === 0
    if (machine.refusesConnections) this.calls.resetConnections(incarnation)
    this.deregisterLater(incarnation)
    if (opts.backMs !== undefined) this.process.outsideAfter(opts.backMs, () => this.boot(vm, opts.sameId ? incarnation.registration.id : undefined))
  }

  private drawListing (opts: { backMs?: number }): WorkerMachine['listedAs'] {
    if (this.draw(3) === 0) return 'up'
    return opts.backMs === undefined && this.draw(2) === 0 ? 'absent' : 'down'
  }

  /** Cuts a machine off, or ends that. */
  setDark (vm: string, dark: boolean): void {
    const machine = this.machine(vm)
    machine.dark = dark
    if (machine.incarnation === undefined) return
    if (dark) this.deregisterLater(machine.incarnation)
    else this.register(machine.incarnation)
  }

  /** Cuts a machine off from all leaders, or ends that; its worker stays registered. */
  setUnreachable (vm: string, unreachable: boolean): void {
    this.machine(vm).dark = unreachable
  }

  /** Lets the registration of a machine's worker expire, or come back, although the worker is well. */
  setRegistered (vm: string, registered: boolean): void {
    const { incarnation, dark } = this.machine(vm)
    if (incarnation === undefined || dark) return
    if (registered) this.register(incarnation)
    else this.deregister(incarnation)
  }

  /** Lets the first run on a machine fail. */
  failRun (vm: string): void {
    const { incarnation } = this.machine(vm)
    const task = incarnation === undefined ? undefined : [...incarnation.runs.keys()][0]
    if (incarnation !== undefined && task !== undefined) this.runs.end(incarnation, task, 'failed')
  }

  /** Lets a worker run a task of a job that is not stored. */
  haunt (vm: string, task: string): void {
    this.machine(vm).incarnation?.runs.set(task, { attempt: 1, startedAt: this.process.now(), cpu: 100 })
  }

  /**
   * @param link - connection of an entry
   * @returns the client of that entry
   */
  client (link: WorkerLink): WorkerClient {
    return this.calls.client(link)
  }

  /** Starts a worker on a machine, under a new id if none is given. */
  private boot (vm: string, id: string | undefined): void {
    const machine = this.machine(vm)
    this.incarnations += 1
    const registration = { id: id ?? `w${this.incarnations}`, born: this.incarnations, service: 's', host: vm, port: 1, zone: 'z', vm, draining: false, capacity: CAPACITY, labels: [], rack: `r${Number(vm.slice(2)) % RACKS}` }
    machine.incarnation = new Incarnation(registration, this.process.now(), machine.clockRate)
    machine.listedAs = 'up'
    this.register(machine.incarnation)
  }

  private register ({ registration }: Incarnation): void {
    this.registered.set(registration.id, registration)
    this.onRegistrations()
  }

  private deregisterLater (incarnation: Incarnation): void {
    this.process.outsideAfter(REGISTRATION_LOST_AFTER_MS, () => {
      const isBack = incarnation.alive && !this.machine(incarnation.registration.vm).dark
      if (!isBack) this.deregister(incarnation)
    })
  }

  private deregister ({ registration }: Incarnation): void {
    if (this.registered.get(registration.id) !== registration) return
    this.registered.delete(registration.id)
    this.onRegistrations()
  }

  private machine (vm: string): WorkerMachine {
    const machine = this.machines.get(vm)
    if (machine === undefined) throw new Error(`no machine ${vm}`)
    return machine
  }
}
