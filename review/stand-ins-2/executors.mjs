import { delay, serveJson } from './http.mjs'

const CLOCK_START_MS = 1_000
const STOP_MS = 30
const LISTED_ENDS = 500

/** Stand-in for an executor: runs work units under a lease, and registers itself in the store. */
export class Executor {
  constructor (opts) {
    this.opts = opts
    this.draining = false
  }

  /**
   * @param opts - `id`, `host`, `service`, `machine`, `capacity`, `labels`, `store`, `bounds`, `answerMs`; `workMs` says for how long a
   * work unit runs (Infinity: it lasts); `onEvent` is told of what begins and ends; `gang` finds the gang of a work unit;
   * `isTicketValid` checks the ticket of a start
   */
  static async start (opts) {
    const executor = new Executor(opts)
    await executor.begin()
    return executor
  }

  async begin () {
    this.life = (this.life ?? 0) + 1
    this.born = Math.max(Date.now(), (this.born ?? 0) + 1)
    this.startedAt = performance.now()
    this.runs = new Map()
    this.blocked = new Map()
    this.finished = []
    this.lastEnd = 0
    this.fence = 0
    this.leaseUntil = 0
    this.sequence = 0
    this.waiting = new Set()
    this.isUp = true
    this.server = await serveJson(this.opts.host, req => this.handle(req), this.port ?? 0)
    this.port = this.server.port
    this.register()
    this.beat = setInterval(() => this.register(), 1_000)
    this.leaseTimer = setInterval(() => this.checkLease(), 10)
  }

  /** Ends it without a word: what it runs is over, and it knows nothing of it in its next life. */
  crash () {
    if (!this.isUp) return
    this.isUp = false
    clearInterval(this.beat)
    clearInterval(this.leaseTimer)
    this.server.close()
    for (const run of this.runs.values()) {
      clearTimeout(run.timer)
      this.opts.onEvent({ kind: 'lost', executor: this.opts.id, task: run.task, attempt: run.attempt })
    }
    this.runs.clear()
  }

  clock () {
    return Math.floor(CLOCK_START_MS + performance.now() - this.startedAt)
  }

  register () {
    const { id, host, service, machine, capacity, labels, store } = this.opts
    this.sequence += 1
    store.put(`servers/${id}`, { service, address: `${host}:${this.port}`, zone: 'zone-a', version: 'v1', slots: 8, state: this.draining ? 'draining' : 'ready', coldLeftMs: 0, capacity, labels, machine, clockMs: this.clock(), born: this.born, sequence: this.sequence })
  }

  checkLease () {
    if (this.runs.size > 0 && this.clock() > this.leaseUntil) for (const run of [...this.runs.values()]) this.end(run, 'lapsed')
  }

  end (run, how) {
    const key = `${run.task} ${run.attempt}`
    if (this.runs.get(key) !== run) return
    this.runs.delete(key)
    clearTimeout(run.timer)
    this.block(run.task, run.attempt)
    this.lastEnd += 1
    this.finished.push([this.lastEnd, run.task, run.attempt, how, ''])
    this.opts.onEvent({ kind: how, executor: this.opts.id, task: run.task, attempt: run.attempt })
    for (const wake of [...this.waiting]) wake()
  }

  block (task, attempt) {
    this.blocked.set(task, Math.max(this.blocked.get(task) ?? 0, attempt))
  }

  extend (deadlineMs) {
    if (deadlineMs === undefined) return
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(deadlineMs, this.clock() + this.opts.bounds.holdMaxMs))
  }

  async handle ({ url, headers, body }) {
    const { life } = this
    if (!this.isUp) return undefined
    const answer = await this.answer(url.pathname, headers, body)
    if ((this.opts.answerMs ?? 0) > 0 && url.pathname !== '/-/hold') await delay(this.opts.answerMs)
    return life === this.life && this.isUp ? answer : undefined
  }

  async answer (path, headers, body) {
    if (path === '/health') return { status: 200, body: {} }
    const said = more => ({ clockMs: this.clock(), born: this.born, ...more })
    if (headers['wisteriaslip-target-instance'] !== undefined && headers['wisteriaslip-target-instance'] !== this.opts.id) return { status: 421, body: said({}) }
    if ((body.fence ?? 0) < this.fence) return { status: 409, body: said({ reason: 'fence' }) }
    this.fence = body.fence ?? 0
    if (path === '/-/run-start') return this.start(body, said)
    if (path === '/-/run-stop') {
      this.block(body.task, body.attempt)
      for (const run of this.runs.values()) if (run.task === body.task && run.attempt <= body.attempt) setTimeout(() => this.end(run, 'stopped'), STOP_MS)
      return { status: 200, body: said({}) }
    }
    if (path === '/-/pace') return { status: 200, body: said({}) }
    if (path === '/-/hold') return { status: 200, body: said(await this.hold(body)) }
    return { status: 404, body: {} }
  }

  start ({ task, attempt, spec, deadlineMs, ticket }, said) {
    const refuse = reason => ({ status: 409, body: said({ reason }) })
    if (deadlineMs <= this.clock()) return refuse('late')
    this.extend(deadlineMs)
    const key = `${task} ${attempt}`
    if (this.runs.has(key)) return { status: 200, body: said({}) }
    if (attempt <= (this.blocked.get(task) ?? 0)) return refuse('old')
    const { demand, workMs, onEvent, gang, capacity } = this.opts
    const wants = demand(task)
    const used = [...this.runs.values()].reduce((sum, run) => sum + run.cpu, 0)
    if (used + wants > capacity.cpu) return refuse('room')
    if (this.opts.isTicketValid?.(task, this.opts.id, ticket) === false) return refuse('ticket')
    const run = { task, attempt, cpu: wants, startedAt: this.clock(), begunAt: this.clock() }
    this.runs.set(key, run)
    onEvent({ kind: 'start', executor: this.opts.id, task, attempt, spec })
    const begin = () => {
      run.begunAt = this.clock()
      run.works = true
      const ms = workMs(task)
      if (Number.isFinite(ms)) run.timer = setTimeout(() => this.end(run, 'done'), ms)
    }
    const members = gang?.(task)
    if (members === undefined) begin()
    else members.join({ attempt, begin, alone: () => this.end(run, 'alone') })
    return { status: 200, body: said({}) }
  }

  async hold ({ deadlineMs, lastSeen = 0, waitMs = 0 }) {
    this.extend(deadlineMs)
    for (const [n, task, attempt, how] of this.finished) if (n <= lastSeen) this.opts.onEvent({ kind: 'noted', executor: this.opts.id, task, attempt, how })
    this.finished = this.finished.filter(([n]) => n > lastSeen)
    if (this.finished.length === 0 && waitMs > 0) {
      await new Promise(resolve => {
        const end = () => {
          clearTimeout(timer)
          this.waiting.delete(end)
          resolve()
        }
        const timer = setTimeout(end, waitMs)
        this.waiting.add(end)
      })
    }
    const running = [...this.runs.values()].map(run => [run.task, run.attempt, '', run.works === true ? this.percent(run) : 0, run.cpu])
    return { running, finished: this.finished.slice(0, LISTED_ENDS) }
  }

  percent (run) {
    const ms = this.opts.workMs(run.task)
    const workedMs = this.clock() - run.begunAt
    if (!Number.isFinite(ms)) return workedMs > 300 ? 100 : 0
    return Math.min(99, Math.floor(100 * workedMs / ms))
  }
}

/** The members of one gang: they work once all of one run are present, and end alone if that takes too long. */
export class Gang {
  present = new Map()

  constructor (size, timeoutMs) {
    this.size = size
    this.timeoutMs = timeoutMs
  }

  join ({ attempt, begin, alone }) {
    const members = this.present.get(attempt) ?? { begins: [], isComplete: false }
    this.present.set(attempt, members)
    members.begins.push(begin)
    if (members.begins.length === this.size) {
      members.isComplete = true
      for (const each of members.begins) each()
    } else setTimeout(() => { if (!members.isComplete) alone() }, this.timeoutMs)
  }
}
