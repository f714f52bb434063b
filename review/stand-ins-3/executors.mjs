/**
 * Stand-ins of machines, executors and the platform's interface for machines, by the page PROTOCOL.md. What a work unit does
 * stands in the job's `spec`: `{ steps: [{ ms, cpu, memMb, count, gang, checkpoint }] }`; `ms` 0 lasts until it is stopped.
 */
import { createServer } from 'node:http'
import { listen, readJson, sendJson, sleep } from './store.mjs'

const HEARTBEAT_MS = 1_500
const SILENT_BEATS = 3
const MAX_WAIT_MS = 2_000
const MAX_ENDS = 500
const STARTUP_MS = 200

/** The start orders and runs of all executors, and the gangs: their members on any executors. */
export class Work {
  constructor (record, bounds) {
    this.record = record
    this.bounds = bounds
    this.runs = []
    this.gangs = new Map()
  }

  gangOf (run) {
    const key = `${run.job}.${run.occurrence}.${run.stepNumber}#${run.attempt}`
    if (!this.gangs.has(key)) this.gangs.set(key, new Map())
    return this.gangs.get(key)
  }
}

/** One life of an executor. */
class Executor {
  constructor (machine, id) {
    this.machine = machine
    this.id = id
    this.born = Date.now()
    this.startedAt = performance.now()
    this.work = machine.fleet.work
    this.fence = 0
    this.deadline = 0
    this.running = new Map()
    this.highest = new Map()
    this.ends = []
    this.lastEnd = 0
    this.sequence = 0
    this.up = true
    this.wakes = new Set()
    this.server = createServer((req, res) => { this.handle(req, res).catch(() => res.destroy()) })
    this.server.keepAliveTimeout = 60_000
    this.timer = setInterval(() => { if (this.deadline !== 0 && this.clock() >= this.deadline) this.lapse() }, 10)
    this.beats = setInterval(() => this.beat(), HEARTBEAT_MS)
  }

  clock () {
    return Math.floor(performance.now() - this.startedAt)
  }

  beat () {
    this.sequence += 1
    const { machine } = this
    machine.fleet.store.put(`servers/${this.id}`, {
      service: machine.pool,
      address: `${machine.host}:${machine.port}`,
      zone: machine.zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldLeftMs: 0,
      capacity: machine.capacity,
      labels: machine.labels,
      machine: machine.id,
      born: this.born,
      clockMs: this.clock(),
      sequence: this.sequence
    })
  }

  /** Ends this life: at a crash nobody is told, and the entry in the store goes after three periods of silence. */
  die (how) {
    if (!this.up) return
    this.up = false
    clearInterval(this.timer)
    clearInterval(this.beats)
    for (const run of [...this.running.values()]) this.end(run, how)
    this.server.close()
    this.server.closeAllConnections()
    for (const wake of [...this.wakes]) wake()
    const remove = () => this.machine.fleet.store.delete(`servers/${this.id}`)
    if (how === 'crashed') this.machine.fleet.later(HEARTBEAT_MS * SILENT_BEATS, remove)
    else remove()
  }

  async handle (req, res) {
    const body = await readJson(req)
    if (!this.up) return res.destroy()
    const target = req.headers['wisteriaslip-target-instance']
    if (target !== undefined && target !== this.id) return sendJson(res, 421)
    const fence = body.fence ?? 0
    if (fence < this.fence) return this.refuse(res, 'fence')
    this.fence = fence
    if (req.url === '/-/run-start') return this.start(body, res)
    if (req.url === '/-/run-stop') return this.stop(body, res)
    if (req.url === '/-/hold') return await this.hold(body, res)
    if (req.url === '/-/pace') return this.confirm(res)
    sendJson(res, 404)
  }

  extend (deadlineMs) {
    if (typeof deadlineMs !== 'number') return
    const until = Math.min(deadlineMs, this.clock() + this.work.bounds.holdMaxMs)
    if (this.deadline !== 0 && this.clock() >= this.deadline) this.lapse()
    this.deadline = Math.max(this.deadline, until)
  }

  start ({ task, attempt, spec, deadlineMs, lastCheckpoint = '', fence }, res) {
    const [job, occurrence, step, index] = task.split('.')
    const plan = JSON.parse(spec).steps[Number(step)]
    const { record } = this.work
    if (typeof deadlineMs === 'number' && deadlineMs <= this.clock()) return this.refuse(res, 'late')
    this.extend(deadlineMs)
    if (this.running.get(task)?.attempt === attempt) return this.confirm(res)
    if (attempt <= (this.highest.get(task) ?? 0)) return this.refuse(res, 'old')
    if (!this.hasRoom(plan)) return this.refuse(res, 'room')
    const run = { task, attempt, spec, plan, job, occurrence, stepNumber: Number(step), index: Number(index), executor: this, service: this.machine.pool, lastCheckpoint, saved: lastCheckpoint, fence, startedAt: performance.now(), reported: undefined, workedFrom: undefined }
    this.running.set(task, run)
    this.work.runs.push(run)
    record(`start ${task} attempt ${attempt} on ${this.id} (${run.service}) fence ${fence}${lastCheckpoint === '' ? '' : ` lastCheckpoint ${lastCheckpoint}`}`)
    if (plan.gang) this.join(run)
    else this.begin(run)
    this.confirm(res)
    this.machine.fleet.onStart(run)
  }

  /** The members of a gang work only together, from the moment when all of one run are there; all must carry the same checkpoint. */
  join (run) {
    const gang = this.work.gangOf(run)
    gang.set(run.index, run)
    run.timeout = setTimeout(() => { if (run.workedFrom === undefined) this.end(run, 'alone') }, this.work.bounds.gangTimeoutMs)
    const members = [...gang.values()]
    const together = members.length === run.plan.count && members.every(each => each.how === undefined && each.lastCheckpoint === run.lastCheckpoint)
    if (together) for (const each of members) each.executor.begin(each)
  }

  begin (run) {
    clearTimeout(run.timeout)
    run.workedFrom = performance.now() + (run.lastCheckpoint === '' ? 0 : this.work.bounds.restoreMs)
    run.startMs = run.lastCheckpoint === '' ? 0 : Number.parseInt(run.lastCheckpoint.slice(0, 8), 16)
    if (run.plan.ms > 0) run.timeout = setTimeout(() => this.end(run, 'done'), run.workedFrom - performance.now() + run.plan.ms - run.startMs)
  }

  workedMs (run) {
    return run.workedFrom === undefined ? 0 : run.startMs + Math.max(0, performance.now() - run.workedFrom)
  }

  /** The latest checkpoint of a run: one for each `checkpointS` of work. */
  savedOf (run, atStop = false) {
    if (!run.plan.checkpoint || run.workedFrom === undefined) return run.saved
    const stepMs = this.work.bounds.checkpointS * 1_000
    const ms = atStop ? Math.floor(this.workedMs(run)) : Math.floor(this.workedMs(run) / stepMs) * stepMs
    if (ms > run.startMs) run.saved = ms.toString(16).padStart(8, '0') + run.job.slice(0, 8)
    return run.saved
  }

  percent (run) {
    if (run.plan.ms === 0) return performance.now() - run.startedAt > STARTUP_MS ? 100 : 0
    return Math.min(99, Math.floor(this.workedMs(run) * 100 / run.plan.ms))
  }

  stop ({ task, attempt }, res) {
    const run = this.running.get(task)
    this.highest.set(task, Math.max(attempt, this.highest.get(task) ?? 0))
    this.work.record(`stop ${task} attempt ${attempt} on ${this.id}${run?.attempt === attempt ? '' : ' (not there)'}`)
    if (run?.attempt === attempt && !run.stopping) {
      run.stopping = true
      this.machine.fleet.later(this.work.bounds.stopTimeoutMs / 2, () => this.end(run, 'stopped'))
    }
    this.confirm(res)
  }

  lapse () {
    this.deadline = 0
    for (const run of [...this.running.values()]) this.end(run, 'lapsed')
  }

  end (run, how) {
    if (run.how !== undefined) return
    clearTimeout(run.timeout)
    const saved = this.savedOf(run, how === 'stopped')
    run.how = how
    run.endedAt = performance.now()
    this.running.delete(run.task)
    this.highest.set(run.task, Math.max(run.attempt, this.highest.get(run.task) ?? 0))
    this.work.record(`end ${run.task} attempt ${run.attempt} on ${this.id} ${how}${run.plan.checkpoint ? ` saved ${saved}, last reported ${run.reported ?? 'none'}` : ''}`)
    if (this.up) {
      this.lastEnd += 1
      run.end = this.lastEnd
      this.ends.push({ row: [this.lastEnd, run.task, run.attempt, how, how === 'done' ? '' : saved], run })
      for (const wake of [...this.wakes]) wake()
    }
    if (run.plan.gang) this.endGang(run, how)
  }

  endGang (run, how) {
    if (how === 'alone' || run.workedFrom === undefined) return
    for (const other of this.work.gangOf(run).values()) other.executor.end(other, how === 'done' ? 'done' : 'broken')
  }

  async hold ({ deadlineMs, lastSeen = 0, waitMs = 0 }, res) {
    this.extend(deadlineMs)
    for (const { row, run } of this.ends) if (row[0] <= lastSeen) run.notedAt ??= performance.now()
    this.ends = this.ends.filter(({ row }) => row[0] > lastSeen)
    const until = performance.now() + Math.min(MAX_WAIT_MS, waitMs)
    while (this.up && this.ends.length === 0 && performance.now() < until && !res.destroyed) await this.nextEnd(until - performance.now())
    if (!this.up) return res.destroy()
    const running = [...this.running.values()].map(run => {
      run.reported = this.savedOf(run)
      return [run.task, run.attempt, run.reported, this.percent(run), run.plan.cpu]
    })
    sendJson(res, 200, { clockMs: this.clock(), born: this.born, running, finished: this.ends.slice(0, MAX_ENDS).map(({ row }) => row) })
  }

  async nextEnd (ms) {
    await new Promise(resolve => {
      const done = () => {
        clearTimeout(timer)
        this.wakes.delete(done)
        resolve()
      }
      const timer = setTimeout(done, ms)
      this.wakes.add(done)
    })
  }

  hasRoom (plan) {
    const all = [plan, ...[...this.running.values()].map(run => run.plan)]
    const used = field => all.reduce((sum, each) => sum + (each[field] ?? 0), 0)
    return used('cpu') <= this.machine.capacity.cpu && used('memMb') <= this.machine.capacity.memMb
  }

  confirm (res) {
    sendJson(res, 200, { clockMs: this.clock(), born: this.born })
  }

  refuse (res, reason) {
    sendJson(res, 409, { clockMs: this.clock(), born: this.born, reason })
  }
}

/** A machine with one executor after another. */
class Machine {
  constructor (fleet, { id, host, port, pool, zone, labels }) {
    Object.assign(this, { fleet, id, host, port, pool, zone, labels, capacity: { cpu: 64_000, memMb: 131_072, gpu: 0 }, state: 'up', lives: 0, upkeeps: new Set() })
  }

  async power () {
    this.state = 'up'
    if (this.fleet.closed || this.fleet.standby.has(this.pool)) return
    this.lives += 1
    this.executor = new Executor(this, `i-${this.id.slice(2)}${String(this.lives).padStart(2, '0')}`)
    await listen(this.executor.server, this.port, this.host)
    this.executor.beat()
  }

  /** Ends the executor. The next one comes after a while, or never if that is undefined. */
  down (how, state, forMs) {
    this.state = state
    this.executor?.die(how)
    this.executor = undefined
    if (forMs !== undefined) this.fleet.later(forMs, () => { this.power().catch(error => this.fleet.work.record(`a machine does not start: ${error}`)) })
  }

  crash (forMs) {
    this.fleet.work.record(`executor ${this.executor?.id} crashes${forMs === undefined ? ' for good' : ` for ${forMs} ms`}`)
    this.down('crashed', 'down', forMs)
  }

  listed () {
    return { machine: this.id, pool: this.pool, state: this.state, zone: this.zone, labels: this.labels, capacity: this.capacity, id: this.executor?.id ?? null }
  }
}

/** All machines, and the platform's interface for them. */
export class Fleet {
  constructor (store, work, standby) {
    Object.assign(this, { store, work, standby: new Set(standby), machines: [], timers: new Set(), closed: false, onStart: () => {} })
    this.server = createServer((req, res) => { this.handle(req, res).catch(() => res.destroy()) })
    this.server.keepAliveTimeout = 60_000
  }

  add (opts) {
    const machine = new Machine(this, opts)
    this.machines.push(machine)
    return machine
  }

  later (ms, run) {
    const timer = setTimeout(() => {
      this.timers.delete(timer)
      run()
    }, ms)
    this.timers.add(timer)
  }

  close () {
    this.closed = true
    for (const timer of this.timers) clearTimeout(timer)
    for (const machine of this.machines) machine.executor?.die('closed')
    this.server.close()
    this.server.closeAllConnections()
  }

  async handle (req, res) {
    const body = await readJson(req)
    await sleep(4)
    if (req.method === 'GET') return sendJson(res, 200, { machines: this.machines.map(machine => machine.listed()), nextToken: null })
    const machine = this.machines.find(({ id }) => id === body.machine)
    this.work.record(`order ${req.url.slice(3)} ${JSON.stringify(body)} holder ${req.headers['wisteriaslip-lease-holder']} fence ${req.headers['wisteriaslip-fencing-token']}`)
    if (machine === undefined) return sendJson(res, 400)
    if (req.url === '/-/machine-move') {
      if (machine.pool === body.pool) return sendJson(res, 200, {})
      if (machine.state !== 'up') return sendJson(res, 409, { reason: 'busy' })
      const { migrationS } = this.work.bounds
      machine.down('left', 'moving')
      machine.pool = body.pool
      machine.down('left', 'moving', migrationS * 1_000)
      return sendJson(res, 200, {})
    }
    if (req.url !== '/-/machine-upkeep') return sendJson(res, 404)
    const wave = this.store.json(`op/wave/${body.wave}`)
    if (wave?.machines.includes(machine.id) !== true) return sendJson(res, 409, { reason: 'wave' })
    if (machine.upkeeps.has(body.wave)) return sendJson(res, 200, {})
    if (machine.state !== 'up') return sendJson(res, 409, { reason: 'busy' })
    machine.upkeeps.add(body.wave)
    machine.down('left', 'upkeep', this.work.bounds.maintenanceS * 1_000)
    sendJson(res, 200, {})
  }
}
