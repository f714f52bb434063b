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

/** The platform's list of VMs. */
export interface VmList {
  readonly vms: readonly Vm[]
  /** Ids of VMs that are listed, but whose description cannot be decoded. */
  readonly unreadable: readonly string[]
  /** Whether the list names every VM: an incomplete one does not prove that a VM is missing. */
  readonly complete: boolean
}

/** A maintenance wave as its document declares it. */
export interface WaveSpec {
  readonly number: number
  readonly vms: readonly string[]
  readonly durationMs: number
  /** Maximum number of VMs that the wave may take down at once. */
  readonly cap: number
}

/** A maintenance wave declared by operators, with the revisions of its document. */
export interface Wave extends WaveSpec {
  /** Store revision at which the document was created: a document that was deleted and created again is another wave. */
  readonly createRevision: number
  /** Store revision of the document's latest change. */
  readonly revision: number
}

/** Errors of a call to the VM platform. */
export type FleetError =
  | { readonly kind: 'unknown', readonly message: string }
  | { readonly kind: 'refused', readonly reason: 'fence' | 'busy' | 'wave' | 'invalid' | 'rate' }

/** Client for the VMs of the platform. Commands carry the caller's fencing token. */
export interface FleetClient {
  listVms (signal: AbortSignal): Promise<Result<VmList, FleetError>>
  moveVm (command: { vm: string, pool: string, token: number }, signal: AbortSignal): Promise<Result<void, FleetError>>
  startMaintenance (command: { vm: string, wave: number, token: number }, signal: AbortSignal): Promise<Result<void, FleetError>>
}
