import { err, ok, type Result } from '@wisteriaslip/core.result'
import type { FleetClient, FleetError, VmList } from '@wisteriaslip/jobs.model'
import type { VirtualProcess } from '@wisteriaslip/testing.jobs'
import type { Draw } from './draw.ts'
import { callFromEntry } from './entry-call.ts'
import type { EntryLink, LinkCut } from './entry-link.ts'

const NETWORK_MS = { least: 2, spread: 8 }
/** When an order without a response is carried out, if it is. */
const LATE_ORDER_MS = { least: 2_000, spread: 10_000 }
/** Of each hundred orders that are sent while the platform is silent, this many are carried out late. */
const HELD_PERCENT = 50

/** Faults of the platform's calls for VMs; they are looked at whenever a call arrives. */
export interface VmCallFaults {
  outage: 'silent' | 'busy' | undefined
  /** Each answer is late by up to this, in milliseconds. */
  slowMs: number
  /** Of each hundred orders, this many are carried out without an answer. */
  unansweredPercent: number
  /** Of each hundred orders, this many are carried out late, without an answer. */
  latePercent: number
  /** The list of VMs is as old as this, in milliseconds. */
  listLagMs: number
}

/** Who sent an order, when, and under which fencing token. */
export interface OrderSender {
  readonly entry: string
  readonly token: number
  readonly sentAt: number
}

/** What the platform does on orders. */
export interface VmPlatform {
  /** @returns VMs as they were listed at that virtual time */
  listAt (at: number): VmList
  move (vm: string, pool: string, sender: OrderSender): Result<void, FleetError>
  maintain (vm: string, wave: number, sender: OrderSender): Result<void, FleetError>
}

/** The way between entries and the platform's calls for VMs, with its faults. */
export class VmOrders {
  readonly faults: VmCallFaults = { outage: undefined, slowMs: 0, unansweredPercent: 0, latePercent: 0, listLagMs: 0 }
  /** When the last of the late orders is carried out. */
  lastLateOrderAt = 0
  private readonly process: VirtualProcess
  private readonly draw: Draw
  private readonly platform: VmPlatform

  /**
   * @param process - gives the time
   * @param draw - decides about delays and faults
   * @param platform - carries orders out
   */
  constructor (process: VirtualProcess, draw: Draw, platform: VmPlatform) {
    this.process = process
    this.draw = draw
    this.platform = platform
  }

  /**
   * @param link - connections of an entry
   * @returns the client of that entry
   */
  client (link: EntryLink): FleetClient {
    const { platform, process } = this
    const sender = (token: number): OrderSender => ({ entry: link.entry, token, sentAt: process.now() })
    return {
      listVms: async signal => await this.call<VmList>(link, signal, respond => respond(ok(platform.listAt(process.now() - this.faults.listLagMs)))),
      moveVm: async ({ vm, pool, token }, signal) => {
        const from = sender(token)
        return await this.order(link, signal, () => platform.move(vm, pool, from))
      },
      startMaintenance: async ({ vm, wave, token }, signal) => {
        const from = sender(token)
        return await this.order(link, signal, () => platform.maintain(vm, wave, from))
      }
    }
  }

  private async order (link: EntryLink, signal: AbortSignal, carryOut: () => Result<void, FleetError>): Promise<Result<void, FleetError>> {
    if (link.alive && this.faults.outage === 'silent' && link.fleetCut === undefined && this.draw(100) < HELD_PERCENT) this.carryOutLate(carryOut)
    return await this.call<void>(link, signal, respond => {
      const fate = this.draw(100)
      if (fate < this.faults.latePercent) return this.carryOutLate(carryOut)
      const response = carryOut()
      if (fate >= this.faults.latePercent + this.faults.unansweredPercent) respond(response)
    })
  }

  private carryOutLate (carryOut: () => Result<void, FleetError>): void {
    const lateMs = LATE_ORDER_MS.least + this.draw(LATE_ORDER_MS.spread)
    this.lastLateOrderAt = Math.max(this.lastLateOrderAt, this.process.now() + lateMs)
    this.process.outsideAfter(lateMs, carryOut)
  }

  private async call<T> (link: EntryLink, signal: AbortSignal, carryOut: (respond: (response: Result<T, FleetError>) => void) => void): Promise<Result<T, FleetError>> {
    const { process, faults } = this
    const cut = (): LinkCut | undefined => faults.outage === 'silent' ? 'silent' : link.fleetCut
    const delayMs = (): number => NETWORK_MS.least + this.draw(NETWORK_MS.spread) + this.draw(link.maxLatenessMs + 1)
    return await callFromEntry<Result<T, FleetError>>({ process, link, signal, cut, delayMs, lost: message => err({ kind: 'unknown', message }) }, respond => {
      if (faults.outage === 'busy') respond(err({ kind: 'refused', reason: 'rate' }))
      else carryOut(response => process.outsideAfter(this.draw(faults.slowMs + 1), () => respond(response)))
    })
  }
}
