import { err, ok, type Result } from '@wisteriaslip/core.result'
import type { WorkerClient, WorkerError, WorkerReport } from '@wisteriaslip/jobs.model'
import { StandInChannel, type ChannelCalls, type VirtualProcess } from '@wisteriaslip/testing.jobs'
import type { Draw } from './draw.ts'
import type { LinkCut } from './entry-link.ts'
import type { Incarnation, WorkerLink, WorkerMachine } from './worker-machine.ts'
import type { WorkerRuns } from './worker-runs.ts'

const MAX_NETWORK_DELAY_MS = 4
/** When an order without a response is carried out, if it is: at the earliest, and by how much later at most. */
const LATE_ORDER_MS = { least: 2_000, spread: 10_000 }

/** What happens to an order: it is not carried out, or late, or its response is lost. */
type OrderFault = 'none' | 'never' | 'late' | 'response-lost'

const connectionReset: Result<never, WorkerError> = err({ kind: 'unknown', message: 'read ECONNRESET' })

type Respond<T> = (response: Result<T, WorkerError>) => void

/** Options of {@link WorkerCalls}. */
export interface WorkerCallsOpts {
  readonly runs: WorkerRuns
  readonly draw: Draw
  /** @returns the machine at an address */
  readonly machineAt: (host: string) => WorkerMachine
}

/** The network between entries and workers: delays, cuts, and orders that are lost or carried out late. */
export class WorkerCalls {
  /** Of each hundred orders, this many get no response. */
  faultyOrdersPercent = 0
  /** Commands of these kinds never arrive, while all others do. */
  readonly lostCommands = new Set<'start' | 'stop'>()
  /** When the last of the late orders is carried out. */
  lastLateOrderAt = 0
  private readonly process: VirtualProcess
  private readonly opts: WorkerCallsOpts

  /**
   * @param process - gives the time
   * @param opts - what workers do, and what decides about faults
   */
  constructor (process: VirtualProcess, opts: WorkerCallsOpts) {
    this.process = process
    this.opts = opts
  }

  /**
   * @param link - connection of an entry
   * @returns the client of that entry
   */
  client (link: WorkerLink): WorkerClient {
    const { runs } = this.opts
    const calls: ChannelCalls<Incarnation> = {
      start: async (channel, command, signal) => await this.call(link, channel, signal, (worker, respond) => { if (!this.lostCommands.has('start')) respond(runs.start(worker, command)) }),
      stop: async (channel, command, signal) => await this.call(link, channel, signal, (worker, respond) => { if (!this.lostCommands.has('stop')) respond(runs.stop(worker, command)) }),
      poll: async (channel, opts, signal) => await this.call<WorkerReport>(link, channel, signal, (worker, respond) => runs.poll(worker, opts, respond)),
      setSpeed: async (channel, _command, signal) => await this.call(link, channel, signal, (worker, respond) => respond(ok(runs.clockOf(worker))))
    }
    return { connect: endpoint => new StandInChannel(endpoint, calls) }
  }

  private async call<T> (link: WorkerLink, channel: StandInChannel<Incarnation>, signal: AbortSignal, carryOut: (worker: Incarnation, respond: Respond<T>) => void): Promise<Result<T, WorkerError>> {
    const { endpoint } = channel
    const machine = this.opts.machineAt(endpoint.host)
    const fault = this.drawOrderFault()
    const deliver = (callback: () => void): void => this.deliver(link, callback)
    let endedAt = Infinity
    return await new Promise(resolve => {
      const end = (response: Result<T, WorkerError>): void => {
        endedAt = Math.min(endedAt, this.process.now())
        signal.removeEventListener('abort', onAborted)
        resolve(response)
      }
      const giveUp = (): void => end(err({ kind: 'unknown', message: 'aborted' }))
      const onAborted = (): void => {
        if (channel.wasReset) return end(connectionReset)
        const lateMs = link.lateReplyMs?.() ?? 0
        if (lateMs === 0) giveUp()
        else this.process.outsideAfter(lateMs, () => deliver(giveUp))
      }
      signal.addEventListener('abort', onAborted, { once: true })
      const reset = (): void => deliver(() => end(connectionReset))
      const arriveBack = (response: Result<T, WorkerError>): void => {
        const cut = link.cutFrom?.(machine.vm)
        if (cut === 'reset') return reset()
        if (link.up && !machine.dark && !machine.mute && cut === undefined) deliver(() => end(response))
      }
      const respond: Respond<T> = response => {
        if (machine.postponed === undefined) this.process.outsideAfter(this.drawDelay(link), () => arriveBack(response))
        else machine.postponed.push(() => respond(response))
      }
      const arrive = (answer: Respond<T>): void => {
        const { incarnation } = machine
        if (incarnation === undefined) {
          if (machine.refusesConnections) answer(channel.peer === undefined ? err({ kind: 'refused', reason: 'not-sent' }) : connectionReset)
          return
        }
        if (!this.accept(incarnation, { link, channel, machine })) return answer(connectionReset)
        if (machine.postponed !== undefined) {
          machine.postponed.push(() => arriveLate(answer))
          return
        }
        if (incarnation.registration.id !== endpoint.id) return answer(err({ kind: 'other-life', message: 'another incarnation' }))
        if (endpoint.token < incarnation.token) return answer(err({ kind: 'refused', reason: 'fence' }))
        incarnation.token = endpoint.token
        carryOut(incarnation, answer)
      }
      // A call ends with its connection: an incarnation that begins later never gets the order.
      const arriveLate = (answer: Respond<T>): void => { if (machine.incarnation !== undefined && machine.incarnation.bornAt <= endedAt) arrive(answer) }
      const lateMs = link.latenessMs?.() ?? 0
      const passes = (cut: LinkCut | undefined): boolean => link.up && !machine.dark && cut !== 'silent' && cut !== 'reset'
      const open = (): void => { if (machine.incarnation !== undefined && passes(link.cutFrom?.(machine.vm))) this.accept(machine.incarnation, { link, channel, machine }) }
      const delayMs = 1 + this.opts.draw(MAX_NETWORK_DELAY_MS)
      // The connection is accepted before a call that is late arrives on it.
      if (lateMs > 0) this.process.outsideAfter(delayMs, open)
      this.process.outsideAfter(delayMs + lateMs, () => {
        const cut = link.cutFrom?.(machine.vm)
        if (cut === 'reset') return reset()
        if (!passes(cut) || fault === 'never') return
        if (fault === 'late') {
          open()
          this.process.outsideAfter(this.drawLateness(), () => { if (channel.peer !== undefined) arriveLate(() => {}) })
        } else if (lateMs > 0) arriveLate(respond)
        else arrive(fault === 'response-lost' ? () => {} : respond)
      })
    })
  }

  /**
   * Ends the connections that an incarnation has accepted, as its machine does when the process has died: their callers hear of
   * it unless they are cut off.
   * @param incarnation - the one whose process has died
   */
  resetConnections (incarnation: Incarnation): void {
    for (const reset of [...incarnation.connections]) reset()
  }

  /** Returns whether a call that arrives at an incarnation reaches it: it has accepted the connection, or does so now. */
  private accept (incarnation: Incarnation, { link, channel, machine }: { readonly link: WorkerLink, readonly channel: StandInChannel<Incarnation>, readonly machine: WorkerMachine }): boolean {
    if (channel.peer === undefined && !channel.ended.aborted) {
      const reset = (): void => this.process.outsideAfter(this.drawDelay(link), () => {
        const cut = link.cutFrom?.(machine.vm)
        if (cut === 'reset' || (link.up && !machine.dark && !machine.mute && cut === undefined)) this.deliver(link, () => channel.reset())
      })
      incarnation.connections.add(reset)
      channel.ended.addEventListener('abort', () => incarnation.connections.delete(reset), { once: true })
    }
    return channel.reaches(incarnation)
  }

  private deliver (link: WorkerLink, callback: () => void): void {
    if (link.deliver === undefined) this.process.deliver(callback)
    else link.deliver(callback)
  }

  private drawDelay (link: WorkerLink): number {
    return 1 + this.opts.draw(MAX_NETWORK_DELAY_MS) + (link.latenessMs?.() ?? 0)
  }

  private drawOrderFault (): OrderFault {
    if (this.opts.draw(100) >= this.faultyOrdersPercent) return 'none'
    return (['late', 'late', 'never', 'response-lost'] as const)[this.opts.draw(4)] ?? 'late'
  }

  private drawLateness (): number {
    const lateMs = LATE_ORDER_MS.least + this.opts.draw(LATE_ORDER_MS.spread)
    this.lastLateOrderAt = Math.max(this.lastLateOrderAt, this.process.now() + lateMs)
    return lateMs
  }
}
