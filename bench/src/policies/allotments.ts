import { FleetConfig, type ClassDoc, type TenantDoc } from '@wisteriaslip/config.documents'
import { PoolRuntime } from '@wisteriaslip/routing.gateway'
import { ReportBudget, ReportSchedule, SlotAllocator, type PoolGrant, type TargetCapacity } from '@wisteriaslip/routing.slots'
import type { SimulatedExecutors } from '../executors.ts'
import type { VirtualLoop } from '../virtual-loop.ts'
import { simulationParams, type BenchRequest, type SlotPolicy } from './policy.ts'

const TICK_INTERVAL_MS = 25
const FENCING_TOKEN = 1

/** Classes and client accounts of the simulated configuration. */
export interface AllotmentPolicyOpts {
  readonly classes: readonly ClassDoc[]
  readonly tenants: readonly TenantDoc[]
}

interface BenchEntry {
  readonly id: string
  readonly pool: PoolRuntime
  readonly schedule: ReportSchedule
  readonly budget: ReportBudget
  nudged: boolean
  reportInProgress: boolean
  seq: number
}

/**
 * The production algorithm: the real pool runtimes of the entries and the leader's real slot allocator, over a simulated
 * network.
 */
export class AllotmentPolicy implements SlotPolicy {
  readonly name = 'allotments'
  private readonly loop: VirtualLoop
  private readonly executors: SimulatedExecutors
  private readonly entries: BenchEntry[]
  private readonly allocator: SlotAllocator
  private sentBytes = 0

  constructor (loop: VirtualLoop, executors: SimulatedExecutors, opts: AllotmentPolicyOpts) {
    this.loop = loop
    this.executors = executors
    const config = new FleetConfig([...opts.classes, ...opts.tenants])
    const targets = makeTargets()
    const ids = new Set(Array.from({ length: simulationParams.entries }, (_, index) => `entry-${index}`))
    this.entries = Array.from({ length: simulationParams.entries }, (_, index) => ({
      id: `entry-${index}`,
      pool: new PoolRuntime({ pool: 'p', incarnation: `entry-${index}`, zone: `zone-${index % 4}`, clock: loop, config: () => config, target: name => ({ zone: zoneOfTarget(name), usable: true }), queueBytes: 1e9, onReportNeeded: () => {} }),
      schedule: new ReportSchedule(),
      budget: new ReportBudget(loop),
      nudged: false,
      reportInProgress: false,
      seq: 0
    }))
    this.allocator = new SlotAllocator({
      clock: loop,
      token: FENCING_TOKEN,
      targets: () => targets,
      classes: () => opts.classes,
      quota: tenant => config.quotaOf(tenant),
      maxRunMs: () => 1_000,
      possibleHolders: () => ids,
      isMajority: entries => entries > simulationParams.entries / 2,
      isLeaseValid: () => true,
      zoneOf: entry => `zone-${Number(entry.split('-')[1]) % 4}`,
      nudge: id => this.nudge(id)
    })
    for (const entry of this.entries) entry.pool.slots.follow(FENCING_TOKEN)
    loop.every(TICK_INTERVAL_MS, () => this.tick())
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
    return this.sentBytes
  }

  private tick (): void {
    for (const entry of this.entries) {
      entry.pool.queue.dispatch()
      if (!entry.reportInProgress && this.isReportDue(entry)) this.report(entry)
    }
  }

  private isReportDue (entry: BenchEntry): boolean {
    const { slots } = entry.pool
    return entry.schedule.isDue(this.loop.now(), () => ({
      nudged: entry.budget.canSpend() && entry.nudged,
      hasUrgentChange: entry.budget.canSpend() && (slots.hasUrgentChange() || (entry.pool.isStarved() && slots.needsReport()))
    }))
  }

  private report (entry: BenchEntry): void {
    const { slots } = entry.pool
    const sentAt = this.loop.now()
    entry.schedule.markSent(sentAt)
    entry.nudged = false
    entry.reportInProgress = true
    entry.seq += 1
    const seq = entry.seq
    const report = slots.needsReport() || entry.pool.isStarved() ? slots.report() : undefined
    this.sentBytes += JSON.stringify(report ?? {}).length + simulationParams.callOverheadBytes
    this.loop.after(simulationParams.oneWayMs, () => {
      const sender = { id: entry.id, incarnation: entry.id, seq, heard: true }
      const grant = report === undefined ? undefined : this.allocator.report(sender, report)
      const renewed = report === undefined && this.allocator.renew(entry.id, true)
      const asked = renewed && this.allocator.wantsReport(entry.id)
      const replyBytes = JSON.stringify(grant ?? {}).length
      this.sentBytes += replyBytes
      entry.budget.spend(JSON.stringify(report ?? {}).length + replyBytes)
      this.loop.after(simulationParams.oneWayMs, () => this.handleReply(entry, sentAt, { grant, renewed, asked }))
    })
  }

  private handleReply (entry: BenchEntry, sentAt: number, reply: { grant: PoolGrant | undefined, renewed: boolean, asked: boolean }): void {
    entry.reportInProgress = false
    if (reply.grant !== undefined) entry.pool.slots.applyGrant(sentAt, reply.grant)
    if (reply.renewed) entry.pool.slots.renew(sentAt, FENCING_TOKEN)
    if (reply.asked) entry.pool.slots.invalidateLastReport()
  }

  private nudge (id: string): void {
    const entry = this.entries.find(each => each.id === id)
    if (entry === undefined || entry.nudged) return
    this.sentBytes += simulationParams.callOverheadBytes
    this.loop.after(simulationParams.oneWayMs, () => { entry.nudged = true })
  }
}

function makeTargets (): TargetCapacity[] {
  return Array.from({ length: simulationParams.executors }, (_, index) => ({ name: `target-${index}`, zone: `zone-${index % 4}`, slots: simulationParams.slots, maxSlotsPerEntry: simulationParams.slots, usable: true }))
}

function zoneOfTarget (target: string): string {
  return `zone-${Number(target.split('-')[1]) % 4}`
}
