import { parseJson } from '@wisteriaslip/core.result'
import type { VirtualProcess } from '@wisteriaslip/testing.jobs'
import type { Draw } from './draw.ts'
import { simulatedLayout } from './store-layout.ts'
import type { VirtualStore } from './virtual-store.ts'
import type { VirtualVm } from './virtual-vm.ts'

const HEARTBEAT_MS = 1_500
/** A registration is removed after this many periods of silence. */
const SILENT_HEARTBEATS = 3
/** A registration that the store has not accepted is tried again after this time. */
const RETRY_MS = 500

/** What workers say of themselves in the store, again and again. */
export class Registrations {
  private readonly process: VirtualProcess
  private readonly store: VirtualStore
  private readonly draw: Draw
  private sequence = 0
  /** Ids of workers that have ended and may still be registered. */
  private readonly former = new Set<string>()
  /** VMs whose workers keep silent although they are well. */
  private readonly silent = new Set<VirtualVm>()

  /**
   * @param process - gives the time
   * @param opts - `draw` decides when heartbeats fall
   */
  constructor (process: VirtualProcess, opts: { readonly store: VirtualStore, readonly draw: Draw }) {
    this.process = process
    this.store = opts.store
    this.draw = opts.draw
  }

  /** Registers the present worker of a VM, and keeps it registered while it is up. */
  begin (vm: VirtualVm): void {
    const { generation } = vm
    const beat = (): void => {
      if (vm.generation !== generation) return
      const accepted = this.write(vm)
      this.process.outsideAfter(accepted ? HEARTBEAT_MS : RETRY_MS, beat)
    }
    this.write(vm)
    this.process.outsideAfter(1 + this.draw(HEARTBEAT_MS), beat)
  }

  /**
   * Notes that the present worker of a VM ends.
   * @param removes - whether it removes its registration, if it can
   */
  end (vm: VirtualVm, removes: boolean): void {
    const id = vm.incarnation?.registration.id
    if (id === undefined) return
    this.former.add(id)
    if (removes && this.reaches(vm)) this.store.delete(keyOf(id))
  }

  /** Lets the registration of a worker vanish, or come back, although the worker is well. */
  setSilent (vm: VirtualVm, silent: boolean): void {
    if (silent) this.silent.add(vm)
    else this.silent.delete(vm)
    const id = vm.incarnation?.registration.id
    if (silent && id !== undefined) this.store.delete(keyOf(id))
    else this.write(vm)
  }

  /** Writes what the worker of a VM says of itself. @returns whether the store has accepted it */
  write (vm: VirtualVm): boolean {
    if (vm.incarnation === undefined || !this.reaches(vm) || this.silent.has(vm)) return false
    const { registration } = vm.incarnation
    this.sequence += 1
    return this.store.put(keyOf(registration.id), JSON.stringify({ ...registration, draining: vm.draining, sequence: this.sequence }), HEARTBEAT_MS * SILENT_HEARTBEATS)
  }

  /** @returns whether the present worker of the VM is registered */
  isRegistered ({ incarnation }: VirtualVm): boolean {
    const text = incarnation === undefined ? undefined : this.store.get(keyOf(incarnation.registration.id))
    return text !== undefined && (parseJson(text) as { born?: number }).born === incarnation?.registration.born
  }

  /** @returns whether exactly those workers are registered that are up, but for silent ones */
  isSettled (vms: Iterable<VirtualVm>): boolean {
    const all = [...vms]
    const present = new Set(all.map(({ incarnation }) => incarnation?.registration.id))
    for (const id of this.former) if (present.has(id) || this.store.get(keyOf(id)) === undefined) this.former.delete(id)
    return this.former.size === 0 && all.every(vm => vm.incarnation === undefined || this.silent.has(vm) || this.isRegistered(vm))
  }

  private reaches ({ dark, cutFromStore, postponed }: VirtualVm): boolean {
    return !dark && !cutFromStore && postponed === undefined
  }
}

function keyOf (id: string): string {
  return `${simulatedLayout.workerPrefix}${id}`
}
