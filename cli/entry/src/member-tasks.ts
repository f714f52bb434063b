import { linkAbort, delay, type LinkedAbort } from '@wisteriaslip/core.result'
import type { Member } from '@wisteriaslip/peers.membership'

const MEMBER_CHECK_INTERVAL_MS = 250

/** Options of {@link runMemberTasks}. */
export interface MemberTasksOpts {
  /** Returns the members that should have a task now. */
  readonly members: () => readonly Member[]
  /** Runs the task of a member until the signal aborts. */
  readonly task: (member: Member, signal: AbortSignal) => Promise<void>
  /** Called after the task of a member that is gone has been aborted. */
  readonly onMemberGone: (incarnation: string) => void
  /** Called after each check of the member list. */
  readonly onCheck?: () => void
  readonly signal: AbortSignal
}

/**
 * Runs one task per member, starting and stopping tasks as members come and go, until the signal aborts.
 * @param opts - members, their task, and callbacks
 */
export async function runMemberTasks (opts: MemberTasksOpts): Promise<void> {
  const tasks = new Map<string, LinkedAbort>()
  while (!opts.signal.aborted) {
    const members = opts.members()
    for (const member of members) {
      if (tasks.has(member.incarnation)) continue
      const taskAbort = linkAbort(opts.signal)
      tasks.set(member.incarnation, taskAbort)
      opts.task(member, taskAbort.signal).catch(() => {})
    }
    for (const [incarnation, taskAbort] of tasks) {
      if (members.some(member => member.incarnation === incarnation)) continue
      taskAbort.abort()
      taskAbort.release()
      tasks.delete(incarnation)
      opts.onMemberGone(incarnation)
    }
    opts.onCheck?.()
    await delay(MEMBER_CHECK_INTERVAL_MS, opts.signal)
  }
}
