/** What an entry remembers of the jobs that it has seen last, by the address of their queue and their id. */
export class RecentJobs<T> {
  private readonly maxJobs: number
  private readonly jobs = new Map<string, T>()

  /** @param maxJobs - when there are more, the one that was added first is forgotten */
  constructor (maxJobs: number) {
    this.maxJobs = maxJobs
  }

  /** @returns what was added for the job, undefined if nothing is remembered */
  get (address: string, id: string): T | undefined {
    return this.jobs.get(keyOf(address, id))
  }

  /** @param value - replaces what is remembered of the job */
  add (address: string, id: string, value: T): void {
    this.jobs.set(keyOf(address, id), value)
    const oldest = this.jobs.keys().next()
    if (this.jobs.size > this.maxJobs && oldest.done !== true) this.jobs.delete(oldest.value)
  }

  delete (address: string, id: string): void {
    this.jobs.delete(keyOf(address, id))
  }
}

function keyOf (address: string, id: string): string {
  return `${address}\n${id}`
}
