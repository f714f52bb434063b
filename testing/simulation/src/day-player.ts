import type { CutPlace, Day, DayEvent, EntryEvent, PlannedEvent, StoreEvent, VmCallEvent, Who, WorkerEvent } from './day-events.ts'
import type { EntryLink, LinkCut } from './entry-link.ts'
import type { SimulatedEntry } from './simulated-entry.ts'
import type { Simulation } from './simulation.ts'
import type { VirtualVm } from './virtual-vm.ts'

/** A VM that is reborn behind a cut crashes this long after the cut, and is back after the next time. */
const CRASH_BEHIND_CUT_MS = 200
const BACK_BEHIND_CUT_MS = 400
const RETRY_MS = 500

/** Lets the events of a scenario happen to a site. */
export class DayPlayer {
  private readonly site: Simulation
  private waves = 0

  /** @param site - the site */
  constructor (site: Simulation) {
    this.site = site
  }

  /** Schedules all events. */
  schedule ({ events }: Day): void {
    for (const event of events) this.site.process.outsideAfter(Math.max(0, event.atMs - this.site.process.now()), () => this.begin(event))
  }

  private begin (event: DayEvent): void {
    if (this.beginPlanned(event as PlannedEvent)) return
    const end = this.site.watch.disturbances.begin(event.kind)
    if (!('forMs' in event)) end()
    else this.after(event.forMs, end)
    if (!this.beginEntryEvent(event as EntryEvent) && !this.beginStoreEvent(event as StoreEvent) && !this.beginWorkerEvent(event as WorkerEvent)) this.beginVmCallEvent(event as VmCallEvent)
  }

  private beginPlanned (event: PlannedEvent): boolean {
    switch (event.kind) {
      case 'submit': for (const job of event.jobs) this.site.submit(job); return true
      case 'cancel': this.site.cancel(event.job); return true
      case 'move-queue': this.site.moveQueue(event.queue, event.service); return true
      case 'reclaim': for (const vm of this.vms(event.vms)) this.site.fleet.reclaim(vm, { noticeMs: event.noticeMs, backMs: event.returns ? event.forMs : undefined }); return true
      case 'wave':
        this.waves += 1
        this.declareWave({ number: this.waves, vms: this.vms(event.vms).map(({ vm }) => vm), durationMs: event.durationMs, cap: event.cap })
        return true
      default: return false
    }
  }

  private declareWave (wave: { number: number, vms: string[], durationMs: number, cap: number }): void {
    if (!this.site.fleet.declareWave(wave)) this.after(RETRY_MS, () => this.declareWave(wave))
  }

  private beginEntryEvent (event: EntryEvent): boolean {
    switch (event.kind) {
      case 'kill': this.kill([this.entry(event.who)], event.forMs, {}); return true
      case 'power-loss': this.kill(this.site.entries, event.forMs, { isOff: true }); return true
      case 'stop': {
        const entry = this.entry(event.who)
        entry.stop(() => this.after(event.forMs, () => entry.start()))
        return true
      }
      case 'freeze': this.entry(event.who).freeze(event.forMs); return true
      case 'late-messages': {
        const entry = this.entry(event.who)
        entry.link().maxLatenessMs = event.byMs
        this.after(event.forMs, () => { entry.link().maxLatenessMs = 0 })
        return true
      }
      case 'cut': {
        const entry = this.entry(event.who)
        const set = (how: LinkCut | undefined): void => { for (const place of event.from) this.setCut(entry.link(), place, how, event) }
        set(event.how)
        this.after(event.forMs, () => set(undefined))
        return true
      }
      default: return false
    }
  }

  private setCut (link: EntryLink, place: CutPlace, how: LinkCut | undefined, { peers, vms }: { readonly peers: readonly number[], readonly vms: readonly number[] }): void {
    if (place === 'store') link.storeCut = how
    else if (place === 'vms') link.fleetCut = how
    else if (place === 'peers') for (const { id } of this.site.entries.filter((entry, number) => peers.includes(number) && entry.id !== link.entry)) setIn(link.peerCuts, id, how)
    else for (const { vm } of this.vms(vms)) setIn(link.vmCuts, vm, how)
  }

  private beginStoreEvent (event: StoreEvent): boolean {
    const { store } = this.site
    const { faults } = store
    switch (event.kind) {
      case 'store-down':
        store.setDown(event.how, { leasesExpire: event.leasesExpire })
        this.after(event.forMs, () => store.setDown(undefined))
        return true
      case 'store-refuses': {
        const { id } = this.entry(event.who)
        faults.refusedEntries.add(id)
        this.after(event.forMs, () => faults.refusedEntries.delete(id))
        return true
      }
      case 'store-slow': faults.slowMs = event.byMs; this.after(event.forMs, () => { faults.slowMs = 0 }); return true
      case 'store-unanswered': faults.unansweredPercent = event.percent; this.after(event.forMs, () => { faults.unansweredPercent = 0 }); return true
      case 'store-late': faults.latePercent = event.percent; this.after(event.forMs, () => { faults.latePercent = 0 }); return true
      case 'watches-lag': faults.watchLagMs = event.byMs; this.after(event.forMs, () => { faults.watchLagMs = 0 }); return true
      case 'leases-revoked': store.revokeLeases(event.who === undefined ? undefined : this.entry(event.who).id); return true
      case 'compaction': store.compact(); return true
      default: return false
    }
  }

  private beginWorkerEvent (event: WorkerEvent): boolean {
    const { fleet } = this.site
    switch (event.kind) {
      case 'crash': for (const vm of this.vms(event.vms)) fleet.crash(vm, { backMs: event.forMs, sameId: event.sameId }); return true
      case 'lose': for (const vm of this.vms(event.vms)) fleet.crash(vm, event.listedAs === undefined ? {} : { listedAs: event.listedAs }); return true
      case 'dark': this.toggle(event, (vm, dark) => fleet.setDark(vm, dark)); return true
      case 'worker-store-cut': this.toggle(event, (vm, cut) => fleet.setCutFromStore(vm, cut)); return true
      case 'hang': this.toggle(event, (vm, hanging) => fleet.setHanging(vm, hanging)); return true
      case 'mute': this.toggle(event, (vm, mute) => { vm.mute = mute }); return true
      case 'flap': this.flap(event.vms, event.periodMs, this.site.process.now() + event.forMs, true); return true
      case 'reborn-behind-cut': {
        const entry = this.entry(event.who)
        this.toggle(event, (vm, cut) => setIn(entry.link().vmCuts, vm.vm, cut ? event.how : undefined))
        this.after(CRASH_BEHIND_CUT_MS, () => { for (const vm of this.vms(event.vms)) fleet.crash(vm, { backMs: BACK_BEHIND_CUT_MS, sameId: event.sameId }) })
        return true
      }
      case 'failed-runs': for (const vm of this.vms(event.vms)) fleet.failRun(vm); return true
      case 'faulty-orders': {
        const { workerCalls } = fleet
        workerCalls.faultyOrdersPercent = event.percent
        this.after(event.forMs, () => {
          workerCalls.faultyOrdersPercent = 0
          this.disturbUntil('late orders', workerCalls.lastLateOrderAt)
        })
        return true
      }
      default: return false
    }
  }

  private beginVmCallEvent (event: VmCallEvent): void {
    const { vmOrders } = this.site.fleet
    const { faults } = vmOrders
    if (event.kind === 'vm-calls') faults.outage = event.outage
    else if (event.kind === 'vm-calls-slow') faults.slowMs = event.byMs
    else if (event.kind === 'vm-list-lags') faults.listLagMs = event.byMs
    else Object.assign(faults, { unansweredPercent: event.unansweredPercent, latePercent: event.latePercent })
    this.after(event.forMs, () => {
      if (event.kind === 'vm-calls') faults.outage = undefined
      else if (event.kind === 'vm-calls-slow') faults.slowMs = 0
      else if (event.kind === 'vm-list-lags') faults.listLagMs = 0
      else Object.assign(faults, { unansweredPercent: 0, latePercent: 0 })
      this.disturbUntil('late orders', vmOrders.lastLateOrderAt)
    })
  }

  private kill (entries: readonly SimulatedEntry[], backMs: number, opts: { isOff?: boolean }): void {
    for (const entry of entries) {
      entry.kill(opts)
      this.after(backMs, () => entry.start())
    }
  }

  /** Registrations vanish and come back again and again. */
  private flap (numbers: readonly number[], periodMs: number, until: number, silent: boolean): void {
    const isOver = this.site.process.now() >= until
    for (const vm of this.vms(numbers)) this.site.fleet.setSilent(vm, silent && !isOver)
    if (!isOver) this.after(periodMs, () => this.flap(numbers, periodMs, until, !silent))
  }

  private toggle ({ vms, forMs }: { readonly vms: readonly number[], readonly forMs: number }, set: (vm: VirtualVm, on: boolean) => void): void {
    for (const vm of this.vms(vms)) set(vm, true)
    this.after(forMs, () => { for (const vm of this.vms(vms)) set(vm, false) })
  }

  private disturbUntil (kind: string, until: number): void {
    if (until > this.site.process.now()) this.after(until - this.site.process.now(), this.site.watch.disturbances.begin(kind))
  }

  private vms (numbers: readonly number[]): VirtualVm[] {
    return numbers.flatMap(number => this.site.fleet.vms[number] ?? [])
  }

  private entry (who: Who): SimulatedEntry {
    const { entries, leaders } = this.site
    const found = 'entry' in who ? entries[who.entry] : entries.find(({ id }) => id === leaders.leaderOf(who.leaderOf))
    return found ?? entries[0] as SimulatedEntry
  }

  private after (ms: number, callback: () => void): void {
    this.site.process.outsideAfter(ms, callback)
  }
}

function setIn (cuts: Map<string, LinkCut>, id: string, how: LinkCut | undefined): void {
  if (how === undefined) cuts.delete(id)
  else cuts.set(id, how)
}
