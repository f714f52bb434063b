import { JobEntry, type JobEntryOpts } from '@wisteriaslip/jobs.entry'
import type { VirtualPart, VirtualProcess } from '@wisteriaslip/testing.jobs'
import { EntryLink } from './entry-link.ts'
import type { VirtualPeers } from './virtual-peers.ts'

const PEER_PORT = 7_000

/** Options of {@link SimulatedEntry}. */
export interface SimulatedEntryOpts {
  readonly id: string
  readonly zone: string
  readonly process: VirtualProcess
  readonly peers: VirtualPeers
  /** How long a graceful shutdown may take before the process is killed, in milliseconds. */
  readonly graceMs: number
  /** @returns the options of the entry that depend on its connections, and those that all entries share */
  readonly connect: (link: EntryLink) => Omit<JobEntryOpts, 'id' | 'zone' | 'peers' | 'peerPort' | 'clock'>
}

interface Running {
  readonly since: number
  readonly part: VirtualPart
  readonly link: EntryLink
  readonly stop: AbortController
  entry: JobEntry | undefined
  /** Time of the virtual clock, in milliseconds. */
  frozenUntil: number
}

/** An entry of a simulation: a real one in a part of the virtual process, which can be killed, stopped, started and frozen. */
export class SimulatedEntry {
  readonly id: string
  private readonly opts: SimulatedEntryOpts
  private running: Running | undefined
  private latestLink: EntryLink

  constructor (opts: SimulatedEntryOpts) {
    this.id = opts.id
    this.opts = opts
    this.latestLink = new EntryLink(opts.id, () => {})
  }

  /** @returns connections of the present process, or of the latest one: cuts outlast the process */
  link (): EntryLink {
    return this.latestLink
  }

  /** @returns whether a process runs that is ready for callers, and is not frozen or shutting down */
  ready (): boolean {
    return this.running?.entry?.ready() === true && this.opts.process.now() >= this.running.frozenUntil
  }

  /** @returns whether a process runs, ready or not */
  isUp (): boolean {
    return this.running !== undefined
  }

  /** @returns virtual time in milliseconds at which the process began that runs; infinite while none does */
  upSince (): number {
    return this.running?.since ?? Infinity
  }

  /** Starts a process, unless one runs. */
  start (): void {
    if (this.running !== undefined) return
    const { id, zone, process, peers, connect } = this.opts
    const part = process.createPart()
    const link = new EntryLink(id, callback => part.deliver(callback))
    copyCuts(this.latestLink, link)
    const running: Running = { since: process.now(), part, link, stop: new AbortController(), entry: undefined, frozenUntil: 0 }
    this.running = running
    this.latestLink = link
    part.deliver(() => {
      running.entry = new JobEntry({ ...connect(link), id, zone, peers: { host: id, port: PEER_PORT }, peerPort: peers.port(link), clock: process })
      running.entry.run(running.stop.signal, []).finally(() => process.outsideAfter(0, () => this.end(running)))
    })
  }

  /**
   * Kills the process at once.
   * @param opts - whether the machine is off as well, so that connections to it are not refused
   */
  kill (opts: { isOff?: boolean } = {}): void {
    if (this.running !== undefined) this.end(this.running, opts)
  }

  /**
   * Requests a graceful shutdown by a signal, and kills the process if it takes longer than the grace period.
   * @param onEnded - called once the process has ended
   */
  stop (onEnded: () => void): void {
    const { running } = this
    if (running === undefined) return onEnded()
    running.part.deliver(() => running.stop.abort())
    const check = (): void => {
      if (this.running !== running) return onEnded()
      if (this.opts.process.now() < until) return this.opts.process.outsideAfter(50, check)
      this.end(running)
      onEnded()
    }
    const until = this.opts.process.now() + this.opts.graceMs
    check()
  }

  /**
   * Freezes the process for a while.
   * @param forMs - milliseconds; a longer freeze that is in progress goes on
   */
  freeze (forMs: number): void {
    const { running, opts: { process } } = this
    if (running === undefined) return
    running.frozenUntil = Math.max(running.frozenUntil, process.now() + forMs)
    running.part.freeze()
    process.outsideAfter(forMs, () => { if (process.now() >= running.frozenUntil) running.part.thaw() })
  }

  /**
   * Does something with the entry, in its own part: what it begins ends with the process.
   * @param action - gets the entry; not called while no process runs
   */
  within (action: (entry: JobEntry) => void): void {
    const { running } = this
    running?.part.deliver(() => { if (running.entry !== undefined) action(running.entry) })
  }

  private end (running: Running, opts: { isOff?: boolean } = {}): void {
    if (this.running !== running) return
    this.running = undefined
    running.part.kill()
    running.link.alive = false
    this.opts.peers.ended(running.link, opts)
  }
}

/** A network outlasts the processes that use it. */
function copyCuts (from: EntryLink, to: EntryLink): void {
  to.storeCut = from.storeCut
  to.fleetCut = from.fleetCut
  to.maxLatenessMs = from.maxLatenessMs
  for (const [vm, cut] of from.vmCuts) to.vmCuts.set(vm, cut)
  for (const [peer, cut] of from.peerCuts) to.peerCuts.set(peer, cut)
}
