import type { Result } from '@wisteriaslip/core.result'
import type { Resources } from './job.ts'

/** States of a VM as the platform lists it. */
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
  /** Id of the worker that runs on it; empty for none. */
  readonly worker: string
}

/** A maintenance wave declared by operators. */
export interface Wave {
  readonly number: number
  readonly vms: readonly string[]
  readonly durationMs: number
  /** Maximum number of VMs that the wave may take down at once. */
  readonly cap: number
}

/** Errors of a call to the VM platform. */
export type FleetError =
  | { readonly kind: 'unknown', readonly message: string }
  | { readonly kind: 'refused', readonly reason: 'fence' | 'busy' | 'wave' | 'invalid' | 'rate' }

/** Client for the VMs of the platform. Commands carry the caller's fencing token. */
export interface FleetClient {
  listVms (signal: AbortSignal): Promise<Result<Vm[], FleetError>>
  moveVm (command: { vm: string, pool: string, token: number }, signal: AbortSignal): Promise<Result<void, FleetError>>
  startMaintenance (command: { vm: string, wave: number, token: number }, signal: AbortSignal): Promise<Result<void, FleetError>>
}
