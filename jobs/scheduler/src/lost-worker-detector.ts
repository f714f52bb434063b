import type { Clock } from '@wisteriaslip/core.result'
import type { Vm } from '@wisteriaslip/jobs.model'
import { ListedVms } from './listed-vms.ts'
import { releaseCauses } from './released-run.ts'
import type { Scheduler } from './scheduler.ts'
import type { TrackedWorker } from './tracked-worker.ts'

/** How long a worker must have been unresponsive before it is checked against the list of VMs. */
const VM_LIST_CHECK_AFTER_MS = 100
/** The first lists follow each other quickly, as what was lost waits for the proof; later ones spare the VM platform. */
const QUICK_LISTS = 3
const QUICK_LIST_INTERVAL_MS = 100
const LIST_INTERVAL_MS = 300
/** Consecutive VM lists that must show what is to be proven: a single one may be older than the incarnation. */
const REQUIRED_VM_LISTS = 2
/** How long consecutive lists must not show a VM that is gone: one may be left out of some lists while it changes. */
const MIN_ABSENCE_MS = 500
/** The same where that would prove that a worker which does not respond has ended: one that is merely disconnected stays listed. */
const MIN_ABSENCE_OF_ENDED_MS = 1_500
/** How long consecutive lists must show no worker on a VM, so that no incarnation that they do not show yet runs there. */
const MIN_VACANCY_MS = 1_500
/** Number of such lists: two that are far apart do not show what was between them. */
const MIN_VACANT_LISTS = 4
/** Longest time in milliseconds from a worker's silence until lists prove that it has ended, if all of them leave out its VM. */
export const LOSS_PROOF_MS = VM_LIST_CHECK_AFTER_MS + MIN_ABSENCE_OF_ENDED_MS + LIST_INTERVAL_MS

/** What a list of VMs tells about VMs that it has no readable entry of. */
export interface VmListCoverage {
  /** Ids of the VMs that are listed with an entry that cannot be read. */
  readonly unreadable: readonly string[]
  /** Whether the list shows all VMs, so that one that it does not show may be gone. */
  readonly complete: boolean
}

const FULL_COVERAGE: VmListCoverage = { unreadable: [], complete: true }

type Proof = 'ended' | 'replaced'

/** A list of VMs that is applied. */
interface AppliedList {
  readonly byId: ReadonlyMap<string, Vm>
  /** Ids of all VMs that it shows, readable or not. */
  readonly shown: ReadonlySet<string>
  readonly isComplete: boolean
  /** It shows a worker of the service that responds on its VM. */
  readonly showsOthers: boolean
  readonly requestedAt: number
}

interface SuspectedLoss {
  /** What is still to be proven. */
  readonly proof: Proof
  /** When the worker was first seen unresponsive, or its incarnation was first seen to have ended, by the injected clock. */
  readonly since: number
  confirmations: number
  /** When the last list was requested, if it shows that nothing runs on its VM. */
  lastOffAt: number | undefined
  /** When the first of the consecutive lists that do not show its VM was requested; undefined when the last one shows it. */
  absentSince: number | undefined
  /** When the first of the consecutive lists that show no worker on its VM was requested; undefined when the last one shows one. */
  vacantSince: number | undefined
  /** Number of these lists. */
  vacantLists: number
  /** Number of lists that were requested. */
  lists: number
  nextListAt: number
}

/** What a list of VMs has proven about a worker. */
export interface LostWorker {
  readonly worker: TrackedWorker
  /**
   * `ended`: nothing runs there any more; `replaced`: nor will anything, as its id does not return; `off`: nor will what was
   * sent before, as its VM was off since.
   */
  readonly proof: Proof | 'off'
  /** Starts with an unknown outcome: those that are kept after `ended`, those that are released after `replaced` and `off`. */
  readonly unansweredStarts: number
  /** State of the VM in the last list; undefined when it is not listed. */
  readonly vmState: Vm['state'] | undefined
}

/**
 * Detects from the list of VMs that incarnations of unresponsive workers have ended, long before their leases expire: a
 * VM that was moved, maintained, powered off or removed no longer runs what it ran before. A start with an unknown outcome may have
 * reached a later incarnation under the same id; it is released once lists that were requested after its call had ended show
 * that nothing runs on the VM, or once its VM has another worker or is gone.
 */
export class LostWorkerDetector {
  private readonly scheduler: Scheduler
  private readonly clock: Clock
  private readonly suspects = new Map<TrackedWorker, SuspectedLoss>()
  private readonly listedVms = new ListedVms()

  constructor (scheduler: Scheduler, clock: Clock) {
    this.scheduler = scheduler
    this.clock = clock
  }

  /** @returns whether a list of VMs is due, because none has shown the VM of some worker; the caller requests it at once */
  needsFirstList (): boolean {
    return this.listedVms.isListDue(this.vmsOfWorkers(), this.clock.now())
  }

  /** @returns whether a list of VMs is due, because some worker has been unresponsive; the caller requests it at once */
  needsVmList (): boolean {
    const now = this.clock.now()
    for (const [worker, suspect] of this.suspects) {
      if (!this.isSuspected(worker, suspect)) this.suspects.delete(worker)
    }
    for (const worker of this.scheduler.workers.values()) {
      const proof = this.proofNeeded(worker)
      if (proof !== undefined && !this.suspects.has(worker)) this.suspects.set(worker, { proof, since: now, confirmations: 0, lastOffAt: undefined, absentSince: undefined, vacantSince: undefined, vacantLists: 0, lists: 0, nextListAt: now + VM_LIST_CHECK_AFTER_MS })
    }
    const due = [...this.suspects.values()].filter(suspect => now >= suspect.nextListAt)
    for (const suspect of due) {
      suspect.lists += 1
      suspect.nextListAt = now + (suspect.lists < QUICK_LISTS ? QUICK_LIST_INTERVAL_MS : LIST_INTERVAL_MS)
    }
    return due.length > 0
  }

  /**
   * Applies a list of VMs: ends the incarnations in the scheduler that are proven to be over, and releases the runs of
   * those whose id is proven not to return.
   * @param vms - VMs as the platform lists them
   * @param requestedAt - when the list was requested, by the injected clock
   * @param coverage - which VMs the list has no readable entry of
   * @returns the workers for which the list completed a proof
   */
  applyVmList (vms: readonly Vm[], requestedAt: number, coverage: VmListCoverage = FULL_COVERAGE): LostWorker[] {
    const byId = new Map(vms.filter(vm => vm.id !== '').map(vm => [vm.id, vm]))
    const shown = new Set([...byId.keys(), ...coverage.unreadable].filter(id => id !== ''))
    this.listedVms.note(shown, coverage.complete ? this.vmsOfWorkers() : [])
    const list: AppliedList = { byId, shown, isComplete: coverage.complete, showsOthers: this.showsRespondingWorkers(byId), requestedAt }
    const lost: LostWorker[] = []
    for (const [worker, suspect] of this.suspects) {
      if (!this.isSuspected(worker, suspect) || requestedAt - suspect.since < VM_LIST_CHECK_AFTER_MS) continue
      this.observe(worker, suspect, list)
      lost.push(...this.conclude(worker, suspect, list))
    }
    return lost
  }

  /** Notes what a list shows of a suspect's VM. */
  private observe (worker: TrackedWorker, suspect: SuspectedLoss, { byId, shown, isComplete, showsOthers, requestedAt }: AppliedList): void {
    const { proof } = suspect
    const vmId = worker.registration.vm
    const vm = byId.get(vmId)
    const isExpected = this.listedVms.has(vmId) || (proof === 'ended' && vmId !== '' && showsOthers)
    const isAbsent = isComplete && !shown.has(vmId) && isExpected
    const isVacant = isAbsent || (isComplete && vm !== undefined && vm.worker === '')
    suspect.confirmations = provesLoss(proof, vm, worker) ? suspect.confirmations + 1 : 0
    suspect.absentSince = isAbsent ? suspect.absentSince ?? requestedAt : undefined
    suspect.vacantSince = isVacant ? suspect.vacantSince ?? requestedAt : undefined
    suspect.vacantLists = isVacant ? suspect.vacantLists + 1 : 0
  }

  /** Ends or releases what is proven, and returns that. */
  private conclude (worker: TrackedWorker, suspect: SuspectedLoss, { byId, requestedAt }: AppliedList): LostWorker[] {
    const { proof } = suspect
    const vmId = worker.registration.vm
    const vm = byId.get(vmId)
    const mayBeGone = this.listedVms.has(vmId) || worker.deregistered
    const vacantSince = mayBeGone ? provenVacantSince(suspect, requestedAt) : undefined
    const offSince = observeOff(suspect, { isOff: vm !== undefined && cannotRun(vm, worker), requestedAt }) ?? vacantSince
    const lost: LostWorker[] = []
    if (offSince !== undefined && (proof === 'replaced' || vacantSince !== undefined)) {
      const unansweredStarts = this.scheduler.releaseOverRuns(worker, offSince)
      if (unansweredStarts > 0) lost.push({ worker, proof: 'off', unansweredStarts, vmState: vm?.state })
      if (proof === 'replaced' && worker.runs.size === 0) return lost
    }
    if (mayBeGone && isGone(suspect, requestedAt)) this.listedVms.add(vmId)
    else if (suspect.confirmations < REQUIRED_VM_LISTS) return lost
    if (proof === 'ended') this.endIncarnation(worker, { planned: isPlanned(vm, worker), offSince })
    lost.push({ worker, proof, unansweredStarts: worker.runs.size, vmState: vm?.state })
    if (proof === 'replaced') this.scheduler.releaseRuns(worker, releaseCauses.vmReplaced)
    this.suspects.delete(worker)
    return lost
  }

  /** Returns whether the same still has to be proven, without a response of the worker since: lists from before a response prove nothing. */
  private isSuspected (worker: TrackedWorker, { proof, since }: SuspectedLoss): boolean {
    return this.proofNeeded(worker) === proof && (worker.lastResponseAt ?? Number.NEGATIVE_INFINITY) <= since
  }

  private vmsOfWorkers (): string[] {
    return [...this.scheduler.workers.values()].map(({ registration }) => registration.vm)
  }

  /**
   * Returns whether a list shows a worker of the service that responds on the VM that it names: then it would show the VMs of
   * the others, too. A VM that was lost before this term is in none of its lists, and its worker's registration expires meanwhile, so that
   * lists count before that; one that has just joined may not be listed yet.
   */
  private showsRespondingWorkers (byId: ReadonlyMap<string, Vm>): boolean {
    return [...this.scheduler.workers.values()].some(({ registration, fenced, reachable, ended }) => fenced && reachable && !ended && byId.get(registration.vm)?.worker === registration.id)
  }

  private endIncarnation (worker: TrackedWorker, opts: { planned: boolean, offSince: number | undefined }): void {
    this.scheduler.endIncarnation(worker, { planned: opts.planned })
    if (opts.offSince !== undefined) this.scheduler.releaseOverRuns(worker, opts.offSince)
  }

  /**
   * Returns what must be proven about a worker that does not respond or has ended; undefined if scheduling does not depend
   * on what runs there.
   */
  private proofNeeded (worker: TrackedWorker): Proof | undefined {
    if (this.scheduler.workers.get(worker.registration.id) !== worker) return undefined
    if (worker.ended) return worker.runs.size > 0 ? 'replaced' : undefined
    if (worker.reachable) return undefined
    return worker.runs.size > 0 || worker.expiredRuns.length > 0 || worker.mayHaveUnknownRuns(this.scheduler.leasesKnownAt()) ? 'ended' : undefined
  }
}

/**
 * Notes whether a list shows that nothing runs on the VM. Returns when the list before it was requested if both show that:
 * nothing that was sent before runs there.
 */
function observeOff (suspect: SuspectedLoss, list: { isOff: boolean, requestedAt: number }): number | undefined {
  const previousOffAt = suspect.lastOffAt
  suspect.lastOffAt = list.isOff ? list.requestedAt : undefined
  return list.isOff ? previousOffAt : undefined
}

/** Returns since when no list has shown a worker on the VM, if that is long enough to prove that there is none. */
function provenVacantSince ({ vacantSince, vacantLists }: SuspectedLoss, requestedAt: number): number | undefined {
  return vacantSince !== undefined && vacantLists >= MIN_VACANT_LISTS && requestedAt - vacantSince >= MIN_VACANCY_MS ? vacantSince : undefined
}

/** Returns whether no list has shown the VM for so long that its worker has ended, or, if it has, cannot restart under its id. */
function isGone ({ proof, absentSince, vacantLists }: SuspectedLoss, requestedAt: number): boolean {
  if (absentSince === undefined || (proof === 'ended' && vacantLists < MIN_VACANT_LISTS)) return false
  return requestedAt - absentSince >= (proof === 'ended' ? MIN_ABSENCE_OF_ENDED_MS : MIN_ABSENCE_MS)
}

/** Returns whether the VM, as listed, shows what is to be proven. */
function provesLoss (proof: Proof, vm: Vm | undefined, worker: TrackedWorker): boolean {
  if (vm === undefined) return false
  return proof === 'replaced' ? hasOtherWorker(vm, worker) : cannotRun(vm, worker)
}

/** Returns whether the VM, as listed, has another worker, so that this one cannot restart under its id. */
function hasOtherWorker (vm: Vm, worker: TrackedWorker): boolean {
  return vm.worker !== '' && vm.worker !== worker.registration.id
}

/** Returns whether the VM, as listed, cannot be running this incarnation of the worker. */
function cannotRun (vm: Vm, worker: TrackedWorker): boolean {
  if (vm.state !== 'up' || vm.pool !== worker.registration.service) return true
  return hasOtherWorker(vm, worker)
}

/** Returns whether the VM, as listed, has been moved or is being maintained: its worker did not end by itself. */
function isPlanned (vm: Vm | undefined, worker: TrackedWorker): boolean {
  if (vm === undefined) return false
  return vm.state === 'moving' || vm.state === 'maintenance' || vm.pool !== worker.registration.service
}
