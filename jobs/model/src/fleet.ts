import type { Result } from '@wisteriaslip/core.result'
import type { Resources } from './job.ts'

/** States of a VM in the platform's list. */
export const vmStates = { up: 'up', moving: 'moving', maintenance: 'maintenance', down: 'down' } as const

/** A VM as the platform lists it. */
export interface Vm {
  readonly id: string
  readonly pool: string
  readonly state: keyof typeof vmStates
  readonly zone: string
  readonly rack: string
  readonly labels: readonly string[]
  readonly capacity: Resources
  /** The worker that lives on it; empty for none. */
  readonly worker: string
}

/** A maintenance wave that operators declared. */
export interface Wave {
  readonly number: number
  readonly vms: readonly string[]
  readonly durationMs: number
  /** VMs that may be down for it at once. */
  readonly cap: number
}

/** Errors of a call on the fleet. */
export type FleetError =
  | { readonly kind: 'unknown', readonly message: string }
  | { readonly kind: 'refused', readonly reason: 'fence' | 'busy' | 'wave' | 'invalid' | 'rate' }

/** Calls on the platform's VMs; orders carry the caller's fencing token. */
export interface FleetClient {
  listVms (signal: AbortSignal): Promise<Result<Vm[], FleetError>>
  moveVm (order: { vm: string, pool: string, token: number }, signal: AbortSignal): Promise<Result<void, FleetError>>
  startMaintenance (order: { vm: string, wave: number, token: number }, signal: AbortSignal): Promise<Result<void, FleetError>>
}
