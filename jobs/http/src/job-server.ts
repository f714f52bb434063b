import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { hasValidKey } from '@wisteriaslip/core.auth'
import { formatIssues } from '@wisteriaslip/config.settings'
import type { Intake } from '@wisteriaslip/jobs.intake'
import type { Queue } from '@wisteriaslip/jobs.model'
import { configSchema, jobSchema, readJson, sendJson } from './wire-format.ts'

const JOB_PATH = /^\/v1\/jobs\/([^/]+)\/([^/]+)$/
const QUEUE_PATH = /^\/v1\/queues\/([^/]+)$/
const ask = { job: 'job', worker: 'worker', pool: 'pool', wave: 'wave' } as const

/** What the interface answers from. */
export interface JobServerOpts {
  /** Key that callers and operators must show; undefined in a trial. */
  readonly key: string | undefined
  readonly intake: Intake
  readonly queue: (name: string) => Queue | undefined
  /** @returns whether the configuration is stored; false when a newer one is there */
  readonly configure: (text: string, version: number) => Promise<'stored' | 'older' | 'unavailable'>
  readonly status: () => Promise<unknown>
  readonly explain: (kind: keyof typeof ask, name: string) => Promise<unknown>
}

/** What a server that only tells answers from. */
export interface InsightServerOpts extends Pick<JobServerOpts, 'status' | 'explain'> {
  readonly metrics: () => string
}

/**
 * HTTP server for what only tells: `GET /metrics`, `GET /v1/job-status`, `GET /v1/explain`.
 * @param opts - what it answers from
 * @returns a server that does not listen yet
 */
export function createInsightServer (opts: InsightServerOpts): Server {
  return createServer((req, res) => {
    tell(req, res, opts).catch(error => sendJson(res, 500, { code: 'INTERNAL', message: String(error), hint: 'See the entry\'s log.' }))
  })
}

async function tell (req: IncomingMessage, res: ServerResponse, opts: InsightServerOpts): Promise<void> {
  const url = new URL(req.url ?? '/', 'http://entry')
  if (url.pathname === '/v1/job-status') return sendJson(res, 200, await opts.status())
  if (url.pathname === '/v1/explain') return await explain(url, res, opts)
  res.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(opts.metrics())
}

/**
 * HTTP server for callers that hand jobs in and for operators who ask about them.
 * @param opts - what it answers from
 * @returns a server that does not listen yet
 */
export function createJobServer (opts: JobServerOpts): Server {
  return createServer((req, res) => {
    answer(req, res, opts).catch(error => sendJson(res, 500, { code: 'INTERNAL', message: String(error), hint: 'See the entry\'s log.' }))
  })
}

async function answer (req: IncomingMessage, res: ServerResponse, opts: JobServerOpts): Promise<void> {
  if (!hasValidKey(req, opts.key)) return refuse(res, 401, 'OPERATOR_KEY_WRONG', 'the key is missing or wrong', 'Set WISTERIASLIP_KEY or pass --key-file.')
  const url = new URL(req.url ?? '/', 'http://entry')
  const route = `${req.method ?? 'GET'} ${url.pathname}`
  const job = JOB_PATH.exec(url.pathname)
  const queue = QUEUE_PATH.exec(url.pathname)
  if (route === 'POST /v1/jobs') return await handIn(req, res, opts)
  if (route === 'POST /v1/job-config') return await configure(req, res, opts)
  if (route === 'GET /v1/job-status') return sendJson(res, 200, await opts.status())
  if (route === 'GET /v1/explain') return await explain(url, res, opts)
  if (queue !== null && req.method === 'GET') return await pending(queue[1] ?? '', res, opts)
  if (job !== null && (req.method === 'GET' || req.method === 'DELETE')) return await onJob(req.method, { queue: job[1] ?? '', id: job[2] ?? '' }, res, opts)
  refuse(res, 404, 'NO_ROUTE', `${route} does not exist`, 'See docs/OPERATORS.md.')
}

async function handIn (req: IncomingMessage, res: ServerResponse, opts: JobServerOpts): Promise<void> {
  const body = await readJson(req)
  const parsed = jobSchema.safeParse(body)
  if (!parsed.success) return refuse(res, 400, 'JOB_INVALID', formatIssues(parsed.error.issues, body).join('; '), 'Correct the job; nothing was stored.')
  const queue = opts.queue(parsed.data.queue)
  if (queue === undefined) return noQueue(res, parsed.data.queue)
  const result = await opts.intake.submit({ ...parsed.data, service: queue.service, acceptedAt: Date.now() })
  if (result.kind === 'accepted') return sendJson(res, 202, { id: parsed.data.id, state: 'accepted' })
  if (result.kind === 'unknown') return refuse(res, 504, 'JOB_UNKNOWN', 'it is not known whether the job is accepted', 'Hand it in again with the same id: it remains one job.')
  sendJson(res, 503, { code: 'JOB_REFUSED', message: 'not accepted; it never runs from this request', hint: 'Hand it in again later.' }, { 'retry-after': String(result.retryAfterS) })
}

async function onJob (method: 'GET' | 'DELETE', about: { queue: string, id: string }, res: ServerResponse, opts: JobServerOpts): Promise<void> {
  const queue = opts.queue(about.queue)
  if (queue === undefined) return noQueue(res, about.queue)
  const state = method === 'GET' ? await opts.intake.state(queue, about.id) : await opts.intake.cancel(queue, about.id)
  if (state === 'none') return refuse(res, 410, 'JOB_GONE', `there is no job ${about.id}`, 'Jobs are forgotten some time after their end.')
  if (state === 'unavailable') return refuse(res, 503, 'JOB_UNREADABLE', 'the state cannot be read now', 'Ask again, or another entry.')
  if (state === 'unknown') return refuse(res, 504, 'JOB_UNKNOWN', 'it is not known whether the job is cancelled', 'Cancel it again.')
  sendJson(res, 200, { id: about.id, state })
}

async function pending (name: string, res: ServerResponse, opts: JobServerOpts): Promise<void> {
  const queue = opts.queue(name)
  if (queue === undefined) return noQueue(res, name)
  const count = await opts.intake.pending(queue)
  if (count === undefined) return refuse(res, 503, 'QUEUE_UNREADABLE', 'the queue cannot be read now', 'Ask again: its service may be changing its leader.')
  sendJson(res, 200, { queue: name, pending: count })
}

async function configure (req: IncomingMessage, res: ServerResponse, opts: JobServerOpts): Promise<void> {
  const body = await readJson(req)
  const parsed = configSchema.safeParse(body)
  if (!parsed.success) return refuse(res, 400, 'JOB_CONFIG_INVALID', formatIssues(parsed.error.issues, body).join('; '), 'Correct the configuration; nothing was stored.')
  const stored = await opts.configure(JSON.stringify(parsed.data), parsed.data.version)
  if (stored === 'stored') return sendJson(res, 200, { version: parsed.data.version })
  if (stored === 'older') return refuse(res, 409, 'JOB_CONFIG_OLDER', `version ${parsed.data.version} is not newer than what is there`, 'Raise the version.')
  refuse(res, 503, 'STORE_UNAVAILABLE', 'the store does not answer', 'Try again.')
}

async function explain (url: URL, res: ServerResponse, opts: Pick<JobServerOpts, 'explain'>): Promise<void> {
  const kind = url.searchParams.get('kind') ?? ''
  const name = url.searchParams.get('name') ?? ''
  if (!(kind in ask) || name === '') return refuse(res, 400, 'BAD_SUBJECT', 'kind or name is missing or wrong', `Use one of ${Object.keys(ask).join(', ')}.`)
  const told = await opts.explain(kind as keyof typeof ask, name)
  if (told === undefined) return refuse(res, 404, 'NOT_FOUND', `no leader knows ${kind} ${name}`, 'Check the name; a service without a leader cannot be asked.')
  sendJson(res, 200, told)
}

function noQueue (res: ServerResponse, name: string): void {
  refuse(res, 404, 'NO_QUEUE', `there is no queue ${name}`, 'See wisteriaslip jobs status.')
}

function refuse (res: ServerResponse, status: number, code: string, message: string, hint: string): void {
  sendJson(res, status, { code, message, hint })
}
