import { startJsonServer } from './http.mjs'

const MAX_LISTED_ENDS = 500
const HOLD_MAX_MS = 6_000
const STOP_MS = 50

const GANG_TIMEOUT_MS = 3_000
const CHECKPOINT_MS = 500

/**
 * The gangs of a site: the members of one run of a gang work from the moment when all of them are present, save together, and
 * end together. `size` gives the number of members from the name of a work unit, 0 for one that is in no gang.
 */
export class Gangs {
  #runs = new Map()
  #workMs
  #size
  #saves

  constructor ({ size, workMs }) {
    this.#size = size
    this.#workMs = workMs
    this.#saves = 0
  }

  isMember (task) {
    return this.#size(task) > 0
  }

  /** Adds a member; `end` ends its run in the way given. */
  join (run, end) {
    const key = `${run.task.slice(0, run.task.lastIndexOf('.'))}#${run.attempt}`
    const gang = this.#runs.get(key) ?? { members: new Map(), timers: [] }
    this.#runs.set(key, gang)
    gang.members.set(run, end)
    run.gang = gang
    run.timer = setTimeout(() => end('alone'), GANG_TIMEOUT_MS)
    if (gang.members.size < this.#size(run.task)) return
    for (const member of gang.members.keys()) clearTimeout(member.timer)
    gang.startedAt = performance.now()
    gang.timers.push(setInterval(() => {
      const saved = (++this.#saves).toString(16).padStart(16, '0')
      for (const member of gang.members.keys()) member.saved = saved
    }, CHECKPOINT_MS))
    gang.timers.push(setTimeout(() => { for (const endMember of [...gang.members.values()]) endMember('done') }, this.#workMs))
  }

  percent (run) {
    const { startedAt } = run.gang
    return startedAt === undefined ? 0 : Math.min(99, Math.floor(100 * (performance.now() - startedAt) / this.#workMs))
  }

  /** Takes a member out; the others end unless all have ended together. */
  leave (run, how) {
    const { gang } = run
    gang.members.delete(run)
    clearTimeout(run.timer)
    for (const timer of gang.timers) clearInterval(timer)
    if (how === 'done' || how === 'alone') return
    for (const endMember of [...gang.members.values()]) endMember('broken')
  }
}

/**
 * Stand-in for an executor. `work` gives the length of a run in milliseconds, from the work unit's name and the spec;
 * undefined for one that lasts. `demand` gives what a work unit takes. Ends beyond the first 500 that are not taken note of
 * are listed later, as the pages say.
 */
export class Worker {
  runs = new Map()
  finished = []
  fence = 0
  /** `ok`, or `silent`: calls get no answer and do nothing. */
  mode = 'ok'
  #blocked = new Map()
  #seq = 0
  #deadlineMs = 0
  #waiting = new Set()
  #startedAt = performance.now()
  #opts

  constructor (opts) {
    this.#opts = opts
    this.id = opts.id
    this.machine = opts.machine
    this.service = opts.service
    this.rack = opts.rack ?? 'r1-1'
    this.capacity = opts.capacity ?? { cpu: 64_000, memMb: 131_072, gpu: 0 }
    this.born = Date.now()
    this.record = (kind, fields) => opts.record(kind, { worker: this.id, born: this.born, ...fields })
  }

  async start () {
    this.server = await startJsonServer(async call => await this.#handle(call))
    this.#lapseTimer = setInterval(() => this.#lapse(), 20)
  }

  #lapseTimer

  close () {
    clearInterval(this.#lapseTimer)
    for (const run of this.runs.values()) clearTimeout(run.timer)
    this.server.close()
  }

  /** Ends the incarnation: what runs there is over, and nothing is listed any more. */
  crash () {
    this.mode = 'silent'
    for (const run of [...this.runs.values()]) {
      clearTimeout(run.timer)
      this.record('end', { task: run.task, attempt: run.attempt, how: 'crashed' })
      if (run.gang !== undefined) this.#opts.gangs.leave(run, 'crashed')
    }
    this.runs.clear()
    this.close()
  }

  registration (sequence, state = 'ready') {
    return { service: this.service, address: this.server.address, zone: 'z1', version: 'v1', slots: 8, state, coldLeftMs: 0, capacity: this.capacity, labels: ['a', this.rack], clockMs: this.#clock(), sequence, machine: this.machine, born: this.born }
  }

  #clock () {
    return Math.round(performance.now() - this.#startedAt) + 1_000
  }

  async #handle ({ path, body, headers }) {
    if (this.mode === 'silent') return undefined
    if (this.#opts.latencyMs !== undefined) await new Promise(resolve => setTimeout(resolve, this.#opts.latencyMs))
    if (headers['wisteriaslip-target-instance'] !== undefined && headers['wisteriaslip-target-instance'] !== this.id) return { status: 421, body: {} }
    const fence = body?.fence ?? 0
    if (fence < this.fence) return this.#refuse('fence')
    this.fence = fence
    if (path === '/-/run-start') return this.#start(body)
    if (path === '/-/run-stop') return this.#stop(body)
    if (path === '/-/pace') return this.#answer({})
    if (path === '/-/hold') return await this.#hold(body)
    return { status: 404, body: {} }
  }

  #answer (body) {
    return { status: 200, body: { clockMs: this.#clock(), ...body } }
  }

  #refuse (reason) {
    return { status: 409, body: { clockMs: this.#clock(), reason } }
  }

  #extend (deadlineMs) {
    if (deadlineMs === undefined) return
    this.#deadlineMs = Math.max(this.#deadlineMs, Math.min(deadlineMs, this.#clock() + HOLD_MAX_MS))
  }

  #start ({ task, attempt, spec, deadlineMs, lastCheckpoint = '' }) {
    this.#lapse()
    const key = `${task}#${attempt}`
    if (this.runs.has(key)) return this.#answer({})
    if (attempt <= (this.#blocked.get(task) ?? 0)) { this.#extend(deadlineMs); return this.#refuse('old') }
    if (deadlineMs <= this.#clock()) return this.#refuse('late')
    this.#extend(deadlineMs)
    const demand = this.#opts.demand(task, spec)
    let cpu = demand.cpu
    let memMb = demand.memMb
    for (const run of this.runs.values()) { cpu += run.demand.cpu; memMb += run.demand.memMb }
    if (cpu > this.capacity.cpu || memMb > this.capacity.memMb) return this.#refuse('room')
    const isMember = this.#opts.gangs?.isMember(task) === true
    const run = { task, attempt, demand, saved: lastCheckpoint, startedAt: performance.now(), workMs: isMember ? undefined : this.#opts.work(task, spec) }
    if (run.workMs !== undefined) run.timer = setTimeout(() => this.#end(run, 'done'), run.workMs)
    this.runs.set(key, run)
    this.record('start', { task, attempt, ...(lastCheckpoint === '' ? {} : { lastCheckpoint }) })
    if (isMember) this.#opts.gangs.join(run, how => this.#end(run, how))
    return this.#answer({})
  }

  #stop ({ task, attempt }) {
    this.#blocked.set(task, Math.max(this.#blocked.get(task) ?? 0, attempt))
    const run = this.runs.get(`${task}#${attempt}`)
    if (run !== undefined) setTimeout(() => this.#end(run, 'stopped'), STOP_MS)
    return this.#answer({})
  }

  async #hold ({ lastSeen = 0, deadlineMs, waitMs = 0 }) {
    this.#lapse()
    this.#extend(deadlineMs)
    const acknowledged = this.finished.filter(([seq]) => seq <= lastSeen)
    for (const [seq, task, attempt, how] of acknowledged) this.record('noted', { seq, task, attempt, how })
    this.finished = this.finished.filter(([seq]) => seq > lastSeen)
    if (this.finished.length === 0 && waitMs > 0) {
      await new Promise(resolve => {
        const timer = setTimeout(done, Math.min(waitMs, 2_000))
        const waiting = this.#waiting
        function done () { clearTimeout(timer); waiting.delete(done); resolve() }
        waiting.add(done)
      })
    }
    if (this.mode === 'silent') return undefined
    const running = [...this.runs.values()].map(run => [run.task, run.attempt, run.saved, this.#percent(run), 0])
    return this.#answer({ born: this.born, running, finished: this.finished.slice(0, MAX_LISTED_ENDS) })
  }

  #percent (run) {
    if (run.gang !== undefined) return this.#opts.gangs.percent(run)
    if (run.workMs === undefined) return 100
    return Math.min(99, Math.floor(100 * (performance.now() - run.startedAt) / run.workMs))
  }

  #lapse () {
    if (this.runs.size === 0 || this.#deadlineMs > this.#clock()) return
    for (const run of [...this.runs.values()]) this.#end(run, 'lapsed')
  }

  #end (run, how) {
    clearTimeout(run.timer)
    if (!this.runs.delete(`${run.task}#${run.attempt}`)) return
    this.#blocked.set(run.task, Math.max(this.#blocked.get(run.task) ?? 0, run.attempt))
    this.#seq += 1
    this.finished.push([this.#seq, run.task, run.attempt, how, run.saved])
    this.record('end', { seq: this.#seq, task: run.task, attempt: run.attempt, how, ...(run.saved === '' ? {} : { saved: run.saved }) })
    if (run.gang !== undefined) this.#opts.gangs.leave(run, how)
    for (const done of [...this.#waiting]) done()
  }
}
