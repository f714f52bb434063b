import type { Clock } from '@wisteriaslip/core.result'
import type { FleetConfig } from '@wisteriaslip/config.documents'
import { PoolQueue } from '@wisteriaslip/routing.admission'
import { SlotHolder, type Slot, type TargetView } from '@wisteriaslip/routing.slots'

/** Options of a pool runtime. */
export interface PoolRuntimeOpts {
  readonly pool: string
  readonly incarnation: string
  readonly zone: string
  readonly clock: Clock
  readonly config: () => FleetConfig
  readonly target: (name: string) => TargetView | undefined
  readonly queueBytes: number
  /** Called when requests wait because no slot is free, or when slots were given back, and the leader should get a report. */
  readonly onReportNeeded: () => void
}

/** State of one pool at an entry: its allotment of slots and the requests that wait for them. */
export class PoolRuntime {
  readonly pool: string
  readonly slots: SlotHolder
  readonly queue: PoolQueue<Slot>

  constructor (opts: PoolRuntimeOpts) {
    this.pool = opts.pool
    this.slots = new SlotHolder({
      pool: opts.pool,
      ownIncarnation: opts.incarnation,
      zone: opts.zone,
      clock: opts.clock,
      target: opts.target,
      demand: () => this.queue.demand(),
      onSlotsAvailable: () => this.queue.dispatch(),
      onReportNeeded: opts.onReportNeeded
    })
    this.queue = new PoolQueue<Slot>({
      clock: opts.clock,
      classes: () => opts.config().classes,
      quota: tenant => opts.config().quotaOf(tenant),
      acquire: () => this.slots.acquire(),
      slotsHeld: () => this.slots.totals().held,
      maxQueuedBytes: opts.queueBytes,
      onStarved: opts.onReportNeeded
    })
  }

  /** @returns whether requests are waiting and no slot is free */
  isStarved (): boolean {
    return this.queue.waiting() > 0 && this.slots.totals().idle === 0
  }
}
