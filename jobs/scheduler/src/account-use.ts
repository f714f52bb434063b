import type { Resources, Step } from '@wisteriaslip/jobs.model'

/** What the tasks of one client account take on the workers of a service. Kept as runs are added to their tasks and removed. */
export class AccountUse {
  /** Name of the account; undefined for all jobs without one together. */
  readonly name: string | undefined
  /** Number of runs. */
  runs = 0
  /** Latest pass that has found steps of the account. */
  seenInPass = 0
  private cpu = 0
  private memMb = 0
  private accelerators = 0

  /** @param name - name of the account; undefined for all jobs without one together */
  constructor (name: string | undefined) {
    this.name = name
  }

  /** @param step - step of a run that was added to its task */
  add (step: Step): void {
    this.change(step, 1)
  }

  /** @param step - step of a run that was removed from its task */
  remove (step: Step): void {
    this.change(step, -1)
  }

  /**
   * @param room - capacity of all workers of the service
   * @returns share of the room that its tasks take, of the resource of which they take most
   */
  share (room: Resources): number {
    return Math.max(fraction(this.cpu, room.cpu), fraction(this.memMb, room.memMb), fraction(this.accelerators, room.accelerators))
  }

  /**
   * @param step - a step
   * @param limit - a share of the room
   * @param room - capacity of all workers of the service
   * @returns how many more of its tasks bring the share to the limit, at least 1
   */
  tasksUntil (step: Step, limit: number, room: Resources): number {
    const { demand, backfill } = step
    const counts = [
      tasksBetween(this.cpu, limit * room.cpu, backfill ? 0 : demand.cpu),
      tasksBetween(this.memMb, limit * room.memMb, demand.memMb),
      tasksBetween(this.accelerators, limit * room.accelerators, demand.accelerators)
    ]
    return Math.max(1, Math.min(...counts))
  }

  private change ({ demand, backfill }: Step, by: 1 | -1): void {
    this.runs += by
    this.cpu += backfill ? 0 : by * demand.cpu
    this.memMb += by * demand.memMb
    this.accelerators += by * demand.accelerators
  }
}

/**
 * @param step - a step
 * @param room - capacity of all workers of the service
 * @returns share of the room that its tasks take together, of the resource of which they take most
 */
export function shareOfStep ({ tasks, demand, backfill }: Step, room: Resources): number {
  return tasks * Math.max(backfill ? 0 : fraction(demand.cpu, room.cpu), fraction(demand.memMb, room.memMb), fraction(demand.accelerators, room.accelerators))
}

function fraction (used: number, room: number): number {
  return room > 0 ? used / room : 0
}

function tasksBetween (used: number, limit: number, demand: number): number {
  return demand > 0 && limit > 0 ? Math.ceil((limit - used) / demand) : Infinity
}
