import { err, ok, type Result } from '@wisteriaslip/core.result'
import type { FleetClient, FleetError, Resources, Vm, VmList, WorkerChannel, WorkerClient } from '@wisteriaslip/jobs.model'
import type { VirtualProcess } from '@wisteriaslip/testing.jobs'
import type { Draw } from './draw.ts'
import type { EntryLink } from './entry-link.ts'
import { Registrations } from './registrations.ts'
import type { RunHistory } from './run-history.ts'
import { simulatedLayout } from './store-layout.ts'
import type { VirtualStore } from './virtual-store.ts'
import { VirtualVm, type VirtualPool } from './virtual-vm.ts'
import { VmOrders, type OrderSender, type VmPlatform } from './vm-orders.ts'
import { WorkerCalls } from './worker-calls.ts'
import { Incarnation, type WorkerMachine } from './worker-machine.ts'
import { WorkerRuns, type TaskDemand } from './worker-runs.ts'

const MIGRATION_MS = 1_500
/** Duration of one VM's maintenance in milliseconds. */
export const MAINTENANCE_MS = 2_000
const CAPACITY: Resources = { cpu: 8_000, memMb: 64_000, accelerators: 0 }
/** Workers' times of birth begin here, in Unix milliseconds. */
const FIRST_BORN_MS = 1_700_000_000_000
/** The platform lists a VM that is lost for good as up for this long at most. */
const MAX_UNNOTICED_MS = 4_000
const LIST_HISTORY_MS = 10_000
const CLOCK_STEPS = 3

/** Options of {@link VirtualFleet}. */
export interface VirtualFleetOpts {
  readonly pools: readonly VirtualPool[]
  readonly store: VirtualStore
  readonly draw: Draw
  /** @returns what a task needs */
  readonly demandOf: (task: string) => TaskDemand
  /** Capacity of each VM, 8 cores and 64 GB by default. */
  readonly capacity?: Resources
}

/** VMs in pools with their workers, and the platform's calls for them, on a virtual clock. */
export class VirtualFleet implements VmPlatform {
  readonly vms: readonly VirtualVm[]
  /** The network to the workers, with its faults. */
  readonly workerCalls: WorkerCalls
  /** The platform's calls for VMs, with their faults. */
  readonly vmOrders: VmOrders
  /** Orders that the product must not send. */
  readonly violations: string[] = []
  private readonly process: VirtualProcess
  private readonly opts: VirtualFleetOpts
  private readonly runs: WorkerRuns
  private readonly registrations: Registrations
  private readonly snapshots: Array<{ readonly at: number, readonly vms: readonly Vm[] }> = []
  private readonly senders = new Map<VirtualVm, { readonly token: number, readonly entry: string, readonly at: number }>()
  /** VMs that have begun their maintenance, by wave. */
  private readonly begun = new Map<number, Set<VirtualVm>>()
  /** Wave for which each VM was last maintained. */
  private readonly maintainedFor = new Map<VirtualVm, number>()
  private incarnations = 0

  /**
   * @param process - gives the time
   * @param opts - pools, store, and what decides about the rest
   */
  constructor (process: VirtualProcess, opts: VirtualFleetOpts) {
    this.process = process
    this.opts = opts
    this.runs = new WorkerRuns(process, opts)
    this.registrations = new Registrations(process, opts)
    this.workerCalls = new WorkerCalls(process, { runs: this.runs, draw: opts.draw, machineAt: host => this.find(host) })
    this.vmOrders = new VmOrders(process, opts.draw, this)
    const pools = opts.pools.flatMap(({ name, vms }) => Array.from({ length: vms }, () => name))
    this.vms = pools.map((pool, number) => new VirtualVm(number, { pool, capacity: opts.capacity ?? CAPACITY, clockStep: opts.draw(CLOCK_STEPS) }))
    for (const vm of this.vms) this.boot(vm)
  }

  /** What ran on the workers. */
  get history (): RunHistory {
    return this.runs.history
  }

  /**
   * @param link - connections of an entry
   * @returns the workers as that entry reaches them
   */
  workerClient (link: EntryLink): WorkerClient {
    const client = this.workerCalls.client({ up: true, deliver: link.deliver, cutFrom: vm => link.vmCuts.get(vm), latenessMs: () => this.opts.draw(link.maxLatenessMs + 1) })
    return { connect: endpoint => whileAlive(client.connect(endpoint), link) }
  }

  /**
   * @param link - connections of an entry
   * @returns the platform's calls for VMs as that entry reaches them
   */
  fleetClient (link: EntryLink): FleetClient {
    return this.vmOrders.client(link)
  }

  /**
   * @param id - id of a VM
   * @returns the VM
   * @throws when there is none
   */
  find (id: string): VirtualVm {
    const vm = this.vms.find(each => each.vm === id)
    if (vm === undefined) throw new Error(`no VM ${id}`)
    return vm
  }

  /** @returns workers that are up, registered and in touch, and stay */
  soundWorkers (): Incarnation[] {
    return this.vms.flatMap(vm => vm.incarnation !== undefined && vm.isSound() && this.registrations.isRegistered(vm) ? [vm.incarnation] : [])
  }

  /** @returns number of VMs whose maintenance has begun, by wave */
  maintained (): Map<number, number> {
    return new Map([...this.begun].map(([wave, vms]) => [wave, vms.size]))
  }

  /** @returns whether exactly those workers are registered that are up */
  isSettled (): boolean {
    return this.registrations.isSettled(this.vms)
  }

  /**
   * Crashes the worker of a VM, if it has one.
   * @param vm - the VM
   * @param opts - when another worker is there, in milliseconds, and whether under the same id; without `backMs` the VM is
   * lost for good. `listedAs` says how the platform lists it then, drawn by default
   */
  crash (vm: VirtualVm, opts: { readonly backMs?: number | undefined, readonly sameId?: boolean, readonly listedAs?: WorkerMachine['listedAs'] }): void {
    const { incarnation } = vm
    if (incarnation === undefined || vm.gone) return
    const id = opts.sameId === true ? incarnation.registration.id : undefined
    vm.gone = opts.backMs === undefined
    this.takeDown(vm, { state: 'down', listedAs: opts.listedAs ?? this.drawListing(opts.backMs), backMs: opts.backMs, removes: false, id })
    if (vm.gone && vm.listedAs === 'up') this.process.outsideAfter(this.opts.draw(MAX_UNNOTICED_MS), () => this.noteGone(vm))
  }

  /** Cuts a VM off from everything, or ends that. */
  setDark (vm: VirtualVm, dark: boolean): void {
    vm.dark = dark
    this.registrations.write(vm)
  }

  /** Cuts the worker of a VM off from the store, or ends that. */
  setCutFromStore (vm: VirtualVm, cut: boolean): void {
    vm.cutFromStore = cut
    this.registrations.write(vm)
  }

  /** Lets the registration of a worker vanish, or come back, although the worker is well. */
  setSilent (vm: VirtualVm, silent: boolean): void {
    this.registrations.setSilent(vm, silent)
  }

  /** Lets a worker hang, or go on with all that has arrived meanwhile. */
  setHanging (vm: VirtualVm, hanging: boolean): void {
    const postponed = vm.postponed ?? []
    vm.postponed = hanging ? postponed : undefined
    if (!hanging) for (const callback of postponed) callback()
    this.registrations.write(vm)
  }

  /**
   * Lets a worker announce that it will leave, and leave.
   * @param vm - its VM
   * @param opts - notice, and when another worker is there after it has left, in milliseconds; without `backMs` the VM is gone
   */
  reclaim (vm: VirtualVm, { noticeMs, backMs }: { readonly noticeMs: number, readonly backMs?: number | undefined }): void {
    if (vm.incarnation === undefined || !vm.isAvailable()) return
    const { generation } = vm
    vm.draining = true
    this.registrations.write(vm)
    this.process.outsideAfter(noticeMs, () => {
      if (vm.generation !== generation) return
      vm.gone = backMs === undefined
      this.takeDown(vm, { state: 'down', listedAs: backMs === undefined ? 'absent' : 'down', backMs, removes: true })
    })
  }

  /** Lets the first run on a VM fail. */
  failRun ({ incarnation }: VirtualVm): void {
    const task = incarnation === undefined ? undefined : [...incarnation.runs.keys()][0]
    if (incarnation !== undefined && task !== undefined) this.runs.end(incarnation, task, 'failed')
  }

  listAt (at: number): VmList {
    const vms = this.snapshots.findLast(snapshot => snapshot.at <= at)?.vms ?? this.snapshots[0]?.vms ?? []
    return { vms, unreadable: [], complete: true }
  }

  move (id: string, pool: string, sender: OrderSender): Result<void, FleetError> {
    const vm = this.vms.find(each => each.vm === id && !each.gone)
    if (vm === undefined || !this.opts.pools.some(({ name }) => name === pool)) return err({ kind: 'refused', reason: 'invalid' })
    if (!this.mayOrder(vm, sender)) return err({ kind: 'refused', reason: 'fence' })
    if (vm.pool === pool) return ok(undefined)
    if (!vm.isAvailable()) return err({ kind: 'refused', reason: 'busy' })
    vm.pool = pool
    this.takeDown(vm, { state: 'moving', listedAs: 'up', backMs: MIGRATION_MS, removes: true })
    return ok(undefined)
  }

  maintain (id: string, wave: number, sender: OrderSender): Result<void, FleetError> {
    const vm = this.vms.find(each => each.vm === id && !each.gone)
    if (vm === undefined) return err({ kind: 'refused', reason: 'invalid' })
    if (!this.mayOrder(vm, sender)) return err({ kind: 'refused', reason: 'fence' })
    const document = this.opts.store.get(simulatedLayout.waveKey(wave))
    const spec = document === undefined ? undefined : simulatedLayout.decodeWave('', document)
    if (spec?.vms.includes(id) !== true) return err({ kind: 'refused', reason: 'wave' })
    const begun = this.begun.get(wave) ?? new Set()
    this.begun.set(wave, begun)
    if (begun.has(vm)) return ok(undefined)
    if (!vm.isAvailable()) return err({ kind: 'refused', reason: 'busy' })
    if (this.vms.filter(each => each.state === 'maintenance' && this.maintainedFor.get(each) === wave).length >= spec.cap) this.violations.push(`${id} is maintained for wave ${wave} beyond its cap`)
    begun.add(vm)
    this.maintainedFor.set(vm, wave)
    this.takeDown(vm, { state: 'maintenance', listedAs: 'up', backMs: MAINTENANCE_MS, removes: true })
    return ok(undefined)
  }

  /** Requests that VMs are maintained. @returns whether the store has accepted it */
  declareWave (wave: { readonly number: number, readonly vms: readonly string[], readonly durationMs: number, readonly cap: number }): boolean {
    return this.opts.store.put(simulatedLayout.waveKey(wave.number), JSON.stringify(wave))
  }

  /** @returns whether the sender may order something of this VM: nobody with a later token has */
  private mayOrder (vm: VirtualVm, { entry, token, sentAt }: OrderSender): boolean {
    const last = this.senders.get(vm)
    if (last?.token === token && last.entry !== entry) this.violations.push(`${entry} and ${last.entry} order ${vm.vm} under token ${token}`)
    if (last !== undefined && token < last.token) {
      if (sentAt > last.at) this.violations.push(`${entry} orders ${vm.vm} under token ${token} after ${last.entry} has under ${last.token}`)
      return false
    }
    if (last?.token !== token) this.senders.set(vm, { token, entry, at: this.process.now() })
    return true
  }

  /** Ends the worker of a VM, and starts another one later. */
  private takeDown (vm: VirtualVm, { state, listedAs, backMs, removes, id }: { readonly state: Vm['state'], readonly listedAs: WorkerMachine['listedAs'], readonly backMs: number | undefined, readonly removes: boolean, readonly id?: string | undefined }): void {
    const { incarnation } = vm
    this.registrations.end(vm, removes)
    vm.generation += 1
    vm.refusesConnections = this.opts.draw(2) === 0
    if (incarnation !== undefined) {
      this.runs.crash(incarnation)
      if (vm.refusesConnections) this.workerCalls.resetConnections(incarnation)
    }
    Object.assign(vm, { incarnation: undefined, state, listedAs, draining: false, mute: false, postponed: undefined })
    this.noteChange()
    const { generation } = vm
    if (backMs !== undefined) this.process.outsideAfter(backMs, () => { if (vm.generation === generation) this.boot(vm, id) })
  }

  /** Starts a worker on a VM, unless its pool is powered off; under a new id if none is given. */
  private boot (vm: VirtualVm, id?: string): void {
    Object.assign(vm, { state: 'up', listedAs: 'up' })
    const isOff = this.opts.pools.find(({ name }) => name === vm.pool)?.standby === true
    if (!isOff) {
      this.incarnations += 1
      const registration = { id: id ?? `w${this.incarnations}`, born: FIRST_BORN_MS + Math.floor(this.process.now()) + this.incarnations, service: vm.pool, host: vm.vm, port: 1, zone: 'z', vm: vm.vm, draining: false, capacity: vm.capacity, labels: [vm.rack], rack: vm.rack }
      vm.generation += 1
      vm.incarnation = new Incarnation(registration, this.process.now(), vm.clockRate)
      this.registrations.begin(vm)
    }
    this.noteChange()
  }

  private noteChange (): void {
    const now = this.process.now()
    this.snapshots.push({ at: now, vms: this.vms.flatMap(vm => vm.listed() ?? []) })
    while ((this.snapshots[1]?.at ?? Infinity) < now - LIST_HISTORY_MS) this.snapshots.shift()
  }

  private noteGone (vm: VirtualVm): void {
    vm.listedAs = 'absent'
    this.noteChange()
  }

  private drawListing (backMs: number | undefined): WorkerMachine['listedAs'] {
    if (this.opts.draw(3) === 0) return 'up'
    return backMs === undefined && this.opts.draw(2) === 0 ? 'absent' : 'down'
  }
}

/** Wraps a channel of an entry, whose calls never return once its process has been killed. */
function whileAlive (channel: WorkerChannel, link: EntryLink): WorkerChannel {
  const never = async <T>(): Promise<T> => await new Promise<T>(() => {})
  return {
    endpoint: channel.endpoint,
    ended: channel.ended,
    close: () => channel.close(),
    start: async (...args) => link.alive ? await channel.start(...args) : await never(),
    stop: async (...args) => link.alive ? await channel.stop(...args) : await never(),
    poll: async (...args) => link.alive ? await channel.poll(...args) : await never(),
    setSpeed: async (...args) => link.alive ? await channel.setSpeed(...args) : await never()
  }
}
