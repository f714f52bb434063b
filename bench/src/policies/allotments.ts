import { FleetConfig, type ClassDoc, type TenantDoc } from '@wisteriaslip/config.documents'
import { PoolRuntime } from '@wisteriaslip/routing.gateway'
import { ReportBudget, ReportSchedule, SlotAllocator, type PoolGrant, type TargetCapacity } from '@wisteriaslip/routing.slots'
import type { Executors } from '../executors.ts'
import type { VirtualLoop } from '../virtual-loop.ts'
import { sizes, type BenchRequest, type SlotPolicy } from './policy.ts'

const TICK_MS = 25
const TOKEN = 1

/** Classes and tenants of the bench. */
export interface AllotmentOpts {
  readonly classes: readonly ClassDoc[]
  readonly tenants: readonly TenantDoc[]
}

interface BenchEntry {
  readonly id: string
  readonly pool: PoolRuntime
  readonly schedule: ReportSchedule
  readonly budget: ReportBudget
  nudged: boolean
  underWay: boolean
  seq: number
}

/** The product's way: entries and the leader's allocator as they are, with the network in between played. */
export class Allotments implements SlotPolicy {
  readonly name = 'allotments'
  private readonly loop: VirtualLoop
  private readonly executors: Executors
  private readonly entries: BenchEntry[]
  private readonly allocator: SlotAllocator
  private bytes = 0

  constructor (loop: VirtualLoop, executors: Executors, opts: AllotmentOpts) {
    this.loop = loop
    this.executors = executors
    const config = new FleetConfig([...opts.classes, ...opts.tenants])
    const targets = targetList()
    const ids = new Set(Array.from({ length: sizes.entries }, (_, index) => `entry-${index}`))
    this.entries = Array.from({ length: sizes.entries }, (_, index) => ({
      id: `entry-${index}`,
      pool: new PoolRuntime({ pool: 'p', incarnation: `entry-${index}`, zone: `zone-${index % 4}`, clock: loop, config: () => config, target: name => ({ zone: zoneOf(name), usable: true }), queueBytes: 1e9, onReportNeeded: () => {} }),
      schedule: new ReportSchedule(),
      budget: new ReportBudget(loop),
      nudged: false,
      underWay: false,
      seq: 0
    }))
    this.allocator = new SlotAllocator({
      clock: loop,
      token: TOKEN,
      targets: () => targets,
      classes: () => opts.classes,
      quota: tenant => config.quotaOf(tenant),
      maxRunMs: () => 1_000,
      possibleHolders: () => ids,
      isMajority: entries => entries > sizes.entries / 2,
      isLeaseValid: () => true,
      zoneOf: entry => `zone-${Number(entry.split('-')[1]) % 4}`,
      nudge: id => this.nudge(id)
    })
    for (const entry of this.entries) entry.pool.slots.follow(TOKEN)
    loop.every(TICK_MS, () => this.tick())
  }

  submit (request: BenchRequest): void {
    const entry = this.entries[request.entry] as BenchEntry
    const queued = { class: request.class, tenant: request.tenant, deadlineAt: this.loop.now() + request.deadlineMs, bytes: 0, signal: new AbortController().signal }
    entry.pool.queue.admit(queued).then(admission => {
      if (!admission.ok) return request.onEnd(false)
      this.executors.send(Number(admission.slot.target.split('-')[1]), {
        serviceMs: request.serviceMs,
        onStart: request.onStart,
        onEnd: () => {
          request.onEnd(true)
          admission.done()
        }
      })
    }, () => {})
  }

  controlBytes (): number {
    return this.bytes
  }

  private tick (): void {
    for (const entry of this.entries) {
      entry.pool.queue.dispatch()
      if (!entry.underWay && this.isDue(entry)) this.report(entry)
    }
  }

  private isDue (entry: BenchEntry): boolean {
    const { slots } = entry.pool
    return entry.schedule.isDue(this.loop.now(), () => ({
      nudged: entry.budget.canSpend() && entry.nudged,
      constraintViolated: entry.budget.canSpend() && (slots.isDirty() || (entry.pool.isStarved() && slots.needsReport()))
    }))
  }

  private report (entry: BenchEntry): void {
    const { slots } = entry.pool
    const sentAt = this.loop.now()
    entry.schedule.markSent(sentAt)
    entry.nudged = false
    entry.underWay = true
    entry.seq += 1
    const seq = entry.seq
    const report = slots.needsReport() || entry.pool.isStarved() ? slots.report() : undefined
    this.bytes += JSON.stringify(report ?? {}).length + sizes.callOverheadBytes
    this.loop.after(sizes.oneWayMs, () => {
      const sender = { id: entry.id, incarnation: entry.id, seq, heard: true }
      const grant = report === undefined ? undefined : this.allocator.report(sender, report)
      const renewed = report === undefined && this.allocator.renew(entry.id, true)
      const asked = renewed && this.allocator.wantsReport(entry.id)
      const answerBytes = JSON.stringify(grant ?? {}).length
      this.bytes += answerBytes
      entry.budget.spend(JSON.stringify(report ?? {}).length + answerBytes)
      this.loop.after(sizes.oneWayMs, () => this.takeAnswer(entry, sentAt, { grant, renewed, asked }))
    })
  }

  private takeAnswer (entry: BenchEntry, sentAt: number, answer: { grant: PoolGrant | undefined, renewed: boolean, asked: boolean }): void {
    entry.underWay = false
    if (answer.grant !== undefined) entry.pool.slots.applyGrant(sentAt, answer.grant)
    if (answer.renewed) entry.pool.slots.renew(sentAt, TOKEN)
    if (answer.asked) entry.pool.slots.invalidateLastReport()
  }

  private nudge (id: string): void {
    const entry = this.entries.find(each => each.id === id)
    if (entry === undefined || entry.nudged) return
    this.bytes += sizes.callOverheadBytes
    this.loop.after(sizes.oneWayMs, () => { entry.nudged = true })
  }
}

function targetList (): TargetCapacity[] {
  return Array.from({ length: sizes.executors }, (_, index) => ({ name: `target-${index}`, zone: `zone-${index % 4}`, slots: sizes.slots, maxSlotsPerEntry: sizes.slots, usable: true }))
}

function zoneOf (target: string): string {
  return `zone-${Number(target.split('-')[1]) % 4}`
}
