import { linkAbort, delay, type LinkedAbort } from '@wisteriaslip/core.result'
import type { Member } from '@wisteriaslip/peers.membership'

const CHECK_MS = 250

/** What {@link runMemberTasks} needs. */
export interface MemberTasksOpts {
  /** Members that should have a task now. */
  readonly members: () => readonly Member[]
  /** The task of a member; it ends when the signal aborts. */
  readonly task: (member: Member, signal: AbortSignal) => Promise<void>
  /** Told when a member is gone. */
  readonly onGone: (incarnation: string) => void
  /** Done at each look at the members. */
  readonly onCheck?: () => void
  readonly signal: AbortSignal
}

/**
 * Keeps one task for each member, as members come and go, until the signal aborts.
 * @param opts - members and their task
 */
export async function runMemberTasks (opts: MemberTasksOpts): Promise<void> {
  const tasks = new Map<string, LinkedAbort>()
  while (!opts.signal.aborted) {
    const members = opts.members()
    for (const member of members) {
      if (tasks.has(member.incarnation)) continue
      const ended = linkAbort(opts.signal)
      tasks.set(member.incarnation, ended)
      opts.task(member, ended.signal).catch(() => {})
    }
    for (const [incarnation, ended] of tasks) {
      if (members.some(member => member.incarnation === incarnation)) continue
      ended.abort()
      ended.release()
      tasks.delete(incarnation)
      opts.onGone(incarnation)
    }
    opts.onCheck?.()
    await delay(CHECK_MS, opts.signal)
  }
}
