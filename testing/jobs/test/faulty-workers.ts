import { err, ok, type Result } from '@wisteriaslip/core.result'
import type { EndedRun, StartCommand, Vm, WorkerClient, WorkerEndpoint, WorkerError, WorkerRegistration, WorkerReport } from '@wisteriaslip/jobs.model'
import type { VirtualProcess } from '@wisteriaslip/testing.jobs'
import { Incarnation, type Link, type Machine } from './faulty-machine.ts'
import { RunHistory } from './run-history.ts'

export const LONGEST_LEASE_MS = 10_000
const RACKS = 3
const CAPACITY = { cpu: 8_000, memMb: 64_000, accelerators: 0 }
/** Share of full speed at which the clock of a worker may run. */
const MIN_CLOCK_RATE = 0.98
const MAX_NETWORK_DELAY_MS = 4
const SERVING_AFTER_MS = 300
const REGISTRATION_LOST_AFTER_MS = 1_500
/** How many ends of runs a response to a poll lists. */
const MAX_LISTED_ENDS = 4
/** When an order without a response is carried out, if it is: at the earliest, and by how much later at most. */
const LATE_ORDER_MS = { least: 2_000, spread: 10_000 }

/** What happens to an order: it is not carried out, or late, or its response is lost. */
type OrderFault = 'none' | 'never' | 'late' | 'response-lost'

/** Draws the outcomes that a scenario leaves open. */
export interface Draw {
  /** @returns a whole number from 0 to `below` - 1 */
  (below: number): number
}

/** Workers whose machines crash and go dark, and that carry orders out late or without a response. */
export class FaultyWorkers {
  /** Machines by VM. */
  readonly machines = new Map<string, Machine>()
  readonly registered = new Map<string, WorkerRegistration>()
  readonly history: RunHistory
  /** Of each hundred orders, this many get no response. */
  faultyOrdersPercent = 0
  /** Commands of these kinds never arrive, while all others do. */
  readonly lostCommands = new Set<'start' | 'stop'>()
  /** When the last of the late orders is carried out. */
  lastLateOrderAt = 0
  onRegistrations: () => void = () => {}
  private readonly process: VirtualProcess
  private readonly draw: Draw
  private readonly demandOf: (task: string) => { cpu: number, runMs: number }
  private incarnations = 0

  constructor (process: VirtualProcess, opts: { machines: number, draw: Draw, demandOf: (task: string) => { cpu: number, runMs: number } }) {
    this.process = process
    this.history = new RunHistory(() => process.now())
    this.draw = opts.draw
    this.demandOf = opts.demandOf
    for (let number = 0; number < opts.machines; number++) {
      const vm = `vm${number}`
      this.machines.set(vm, { vm, clockRate: MIN_CLOCK_RATE + opts.draw(3) / 100, incarnation: undefined, dark: false, listedAs: 'up', refusesConnections: false })
      this.boot(vm, undefined)
    }
  }

  /** @returns incarnations that are up and in touch */
  reachable (): Incarnation[] {
    return [...this.machines.values()].flatMap(({ incarnation, dark }) => incarnation === undefined || dark ? [] : [incarnation])
  }

  /** @returns the machines as the platform lists them */
  list (): Vm[] {
    const listed = [...this.machines.values()].filter(({ listedAs }) => listedAs !== 'absent')
    return listed.map(({ vm, incarnation, listedAs }) => ({ id: vm, pool: 's', state: listedAs === 'down' ? 'down' : 'up', zone: 'z', rack: `r${Number(vm.slice(2)) % RACKS}`, labels: [], capacity: CAPACITY, worker: incarnation?.registration.id ?? '' }))
  }

  /** Crashes the worker of a machine, if it has one. Without `backMs` it is lost for good. `listedAs` says how its VM is listed then. */
  crash (vm: string, opts: { backMs?: number, sameId: boolean, listedAs?: Machine['listedAs'] }): void {
    const machine = this.machine(vm)
    const { incarnation } = machine
    if (incarnation === undefined) return
    incarnation.alive = false
    this.history.crash(incarnation)
    machine.incarnation = undefined
    machine.listedAs = opts.listedAs ?? this.drawListing(opts)
    machine.refusesConnections = this.draw(2) === 0
    if (machine.refusesConnections) for (const answer of [...incarnation.waitingPolls]) answer(true)
    this.deregisterLater(incarnation)
    if (opts.backMs !== undefined) this.process.outsideAfter(opts.backMs, () => this.boot(vm, opts.sameId ? incarnation.registration.id : undefined))
  }

  private drawListing (opts: { backMs?: number }): Machine['listedAs'] {
    if (this.draw(3) === 0) return 'up'
    return opts.backMs === undefined && this.draw(2) === 0 ? 'absent' : 'down'
  }

  /** Cuts a machine off, or ends that. */
  setDark (vm: string, dark: boolean): void {
    const machine = this.machine(vm)
    machine.dark = dark
    if (machine.incarnation === undefined) return
    if (dark) this.deregisterLater(machine.incarnation)
    else this.register(machine.incarnation)
  }

  /** Lets the registration of a machine's worker expire, or come back, although the worker is well. */
  setRegistered (vm: string, registered: boolean): void {
    const { incarnation, dark } = this.machine(vm)
    if (incarnation === undefined || dark) return
    if (registered) this.register(incarnation)
    else this.deregister(incarnation)
  }

  /** Lets the first run on a machine fail. */
  failRun (vm: string): void {
    const { incarnation } = this.machine(vm)
    const task = incarnation === undefined ? undefined : [...incarnation.runs.keys()][0]
    if (incarnation !== undefined && task !== undefined) this.end(incarnation, task, 'failed')
  }

  /** Lets a worker run a task of a job that is not stored. */
  haunt (vm: string, task: string): void {
    this.machine(vm).incarnation?.runs.set(task, { attempt: 1, startedAt: this.process.now(), cpu: 100 })
  }

  /**
   * @param link - connection of an entry
   * @returns the client of that entry
   */
  client (link: Link): WorkerClient {
    return {
      start: async (endpoint, command, signal) => await this.call(link, endpoint, signal, (worker, respond) => { if (!this.lostCommands.has('start')) respond(this.start(worker, command)) }),
      stop: async (endpoint, command, signal) => await this.call(link, endpoint, signal, (worker, respond) => {
        if (this.lostCommands.has('stop')) return
        this.block(worker, command.task, command.attempt)
        if (worker.runs.get(command.task)?.attempt === command.attempt) this.process.outsideAfter(this.draw(200), () => this.end(worker, command.task, 'stopped', command.attempt))
        respond(ok(this.clockOf(worker)))
      }),
      poll: async (endpoint, opts, signal) => await this.call<WorkerReport>(link, endpoint, signal, (worker, respond) => this.poll(worker, opts, respond)),
      setSpeed: async (endpoint, _command, signal) => await this.call(link, endpoint, signal, (worker, respond) => respond(ok(this.clockOf(worker)))),
      closeConnections: () => {}
    }
  }

  /** Starts a worker on a machine, under a new id if none is given. */
  private boot (vm: string, id: string | undefined): void {
    const machine = this.machine(vm)
    this.incarnations += 1
    const registration = { id: id ?? `w${this.incarnations}`, born: this.incarnations, service: 's', host: vm, port: 1, zone: 'z', vm, draining: false, capacity: CAPACITY, labels: [], rack: `r${Number(vm.slice(2)) % RACKS}` }
    machine.incarnation = new Incarnation(registration, this.process.now())
    machine.listedAs = 'up'
    this.register(machine.incarnation)
  }

  private register ({ registration }: Incarnation): void {
    this.registered.set(registration.id, registration)
    this.onRegistrations()
  }

  private deregisterLater (incarnation: Incarnation): void {
    this.process.outsideAfter(REGISTRATION_LOST_AFTER_MS, () => {
      const isBack = incarnation.alive && !this.machine(incarnation.registration.vm).dark
      if (!isBack) this.deregister(incarnation)
    })
  }

  private deregister ({ registration }: Incarnation): void {
    if (this.registered.get(registration.id) !== registration) return
    this.registered.delete(registration.id)
    this.onRegistrations()
  }

  private async call<T> (link: Link, endpoint: WorkerEndpoint, signal: AbortSignal, carryOut: (worker: Incarnation, respond: (response: Result<T, WorkerError>) => void) => void): Promise<Result<T, WorkerError>> {
    if (signal.aborted) return err({ kind: 'refused', reason: 'not-sent' })
    const machine = this.machine(endpoint.host)
    const fault = this.drawOrderFault()
    let endedAt = Infinity
    return await new Promise(resolve => {
      const end = (response: Result<T, WorkerError>): void => {
        endedAt = Math.min(endedAt, this.process.now())
        resolve(response)
      }
      const giveUp = (): void => end(err({ kind: 'unknown', message: 'aborted' }))
      signal.addEventListener('abort', () => { this.after(link.lateReplyMs?.() ?? 0, giveUp) }, { once: true })
      const reset = (): void => this.process.deliver(() => end(err({ kind: 'unknown', message: 'read ECONNRESET' })))
      const respond = (response: Result<T, WorkerError>): void => this.process.outsideAfter(this.drawDelay(link), () => {
        const cut = link.cutFrom?.(machine.vm)
        if (cut === 'reset') return reset()
        if (link.up && !machine.dark && cut === undefined) this.process.deliver(() => end(response))
      })
      const arrive = (answer: typeof respond): void => {
        const { incarnation } = machine
        if (incarnation === undefined) return machine.refusesConnections ? answer(err({ kind: 'refused', reason: 'not-sent' })) : undefined
        if (incarnation.registration.id !== endpoint.id) return answer(err({ kind: 'other-life', message: 'another incarnation' }))
        if (endpoint.token < incarnation.token) return answer(err({ kind: 'refused', reason: 'fence' }))
        incarnation.token = endpoint.token
        carryOut(incarnation, answer)
      }
      // A call ends with its connection: an incarnation that begins later never gets the order.
      const arriveLate = (answer: typeof respond): void => { if (machine.incarnation !== undefined && machine.incarnation.bornAt <= endedAt) arrive(answer) }
      const lateMs = link.latenessMs?.() ?? 0
      this.process.outsideAfter(1 + this.draw(MAX_NETWORK_DELAY_MS) + lateMs, () => {
        const cut = link.cutFrom?.(machine.vm)
        if (cut === 'reset') return reset()
        if (!link.up || machine.dark || fault === 'never' || cut === 'silent') return
        if (fault === 'late') this.process.outsideAfter(this.drawLateness(), () => arriveLate(() => {}))
        else if (lateMs > 0) arriveLate(respond)
        else arrive(fault === 'response-lost' ? () => {} : respond)
      })
    })
  }

  /** Runs something now, or later outside of the process. */
  private after (ms: number, callback: () => void): void {
    if (ms === 0) callback()
    else this.process.outsideAfter(ms, () => this.process.deliver(callback))
  }

  private drawDelay (link: Link): number {
    return 1 + this.draw(MAX_NETWORK_DELAY_MS) + (link.latenessMs?.() ?? 0)
  }

  private drawOrderFault (): OrderFault {
    if (this.draw(100) >= this.faultyOrdersPercent) return 'none'
    return (['late', 'late', 'never', 'response-lost'] as const)[this.draw(4)] ?? 'late'
  }

  private drawLateness (): number {
    const lateMs = LATE_ORDER_MS.least + this.draw(LATE_ORDER_MS.spread)
    this.lastLateOrderAt = Math.max(this.lastLateOrderAt, this.process.now() + lateMs)
    return lateMs
  }

  private start (worker: Incarnation, { task, attempt, leaseUntilMs }: StartCommand): Result<number, WorkerError> {
    if (worker.runs.get(task)?.attempt === attempt) return ok(this.clockOf(worker))
    if (leaseUntilMs <= this.clockOf(worker)) return err({ kind: 'refused', reason: 'late' })
    this.extendLease(worker, leaseUntilMs)
    if (worker.runs.has(task) || attempt <= (worker.blockedAttempts.get(task) ?? 0)) return err({ kind: 'refused', reason: 'old' })
    const { cpu, runMs } = this.demandOf(task)
    if (cpu > worker.freeCpu()) return err({ kind: 'refused', reason: 'room' })
    this.history.start(worker, { task, attempt })
    worker.runs.set(task, { attempt, startedAt: this.process.now(), cpu })
    if (runMs !== Infinity) this.process.outsideAfter(runMs, () => this.end(worker, task, 'done', attempt))
    return ok(this.clockOf(worker))
  }

  private poll (worker: Incarnation, opts: { leaseUntilMs?: number | undefined, seenSeq: number, waitMs: number }, respond: (response: Result<WorkerReport, WorkerError>) => void): void {
    if (opts.leaseUntilMs !== undefined) this.extendLease(worker, opts.leaseUntilMs)
    this.history.note(worker, worker.ended.filter(({ seq }) => seq <= opts.seenSeq))
    worker.ended = worker.ended.filter(({ seq }) => seq > opts.seenSeq)
    const answer = (crashed?: true): void => {
      if (!worker.waitingPolls.delete(answer) || (!worker.alive && crashed === undefined)) return
      const running = [...worker.runs].map(([task, { attempt, startedAt }]) => ({ task, attempt, checkpoint: '', percent: this.process.now() - startedAt >= SERVING_AFTER_MS ? 100 : 0, load: 0 }))
      respond(crashed ? err({ kind: 'unknown', message: 'connection reset' }) : ok({ clockMs: this.clockOf(worker), born: worker.registration.born, running, ended: worker.ended.slice(0, MAX_LISTED_ENDS), moreEnded: worker.ended.length > MAX_LISTED_ENDS }))
    }
    worker.waitingPolls.add(answer)
    if (worker.ended.length > 0 || opts.waitMs === 0) answer()
    else this.process.outsideAfter(opts.waitMs, answer)
  }

  private extendLease (worker: Incarnation, untilMs: number): void {
    const isWatched = worker.leaseUntilMs > this.clockOf(worker)
    worker.leaseUntilMs = Math.max(worker.leaseUntilMs, Math.min(untilMs, this.clockOf(worker) + LONGEST_LEASE_MS))
    if (!isWatched) this.expireLease(worker)
  }

  /** Ends the runs of a worker once its lease has expired. */
  private expireLease (worker: Incarnation): void {
    const leftMs = worker.leaseUntilMs - this.clockOf(worker)
    if (!worker.alive) return
    if (leftMs > 0) this.process.outsideAfter(leftMs / this.machine(worker.registration.vm).clockRate, () => this.expireLease(worker))
    else this.endLeased(worker)
  }

  private endLeased (worker: Incarnation): void {
    for (const task of [...worker.runs.keys()]) this.end(worker, task, 'lapsed')
    this.history.lapse(worker)
  }

  private end (worker: Incarnation, task: string, how: EndedRun['how'], only?: number): void {
    const attempt = worker.runs.get(task)?.attempt
    if (attempt === undefined || (only !== undefined && attempt !== only)) return
    worker.runs.delete(task)
    this.block(worker, task, attempt)
    worker.seq += 1
    worker.ended.push({ seq: worker.seq, task, attempt, how, checkpoint: '' })
    this.history.end(worker, { task, attempt, how })
    for (const answer of [...worker.waitingPolls]) answer()
  }

  private block (worker: Incarnation, task: string, attempt: number): void {
    worker.blockedAttempts.set(task, Math.max(worker.blockedAttempts.get(task) ?? 0, attempt))
  }

  private clockOf ({ bornAt, registration: { vm } }: Incarnation): number {
    return Math.floor((this.process.now() - bornAt) * this.machine(vm).clockRate) + 1
  }

  private machine (vm: string): Machine {
    const machine = this.machines.get(vm)
    if (machine === undefined) throw new Error(`no machine ${vm}`)
    return machine
  }
}
