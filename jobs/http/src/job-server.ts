import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { limitedServerOptions } from '@wisteriaslip/core.http-limits'
import { formatIssues } from '@wisteriaslip/config.settings'
import type { CallGate } from '@wisteriaslip/jobs.accounts'
import type { Intake } from '@wisteriaslip/jobs.intake'
import { addressOf, type Queue } from '@wisteriaslip/jobs.model'
import type { ExplainResult } from '@wisteriaslip/jobs.protocol'
import { accessErrors, jobAccessOf, operatorAccessOf, type Access } from './access.ts'
import { configSchema, jobSchema, overload, readJson, sendJson } from './wire-format.ts'

const JOB_PATH = /^\/v1\/jobs\/([^/]+)\/([^/]+)$/
const QUEUE_PATH = /^\/v1\/queues\/([^/]+)$/
const explainKinds = { job: 'job', worker: 'worker', pool: 'pool', wave: 'wave' } as const

/** Options of {@link createJobServer}. */
export interface JobServerOpts {
  /** Key that operators must present, and callers where there are no client accounts; undefined in a trial without keys. */
  readonly key: string | undefined
  readonly callGate: CallGate
  /** @returns a queue whose calls need no key, undefined if there is none */
  readonly publicQueue: () => Queue | undefined
  readonly intake: Intake
  readonly queue: (name: string) => Queue | undefined
  /** @returns whether the configuration was stored; `older` when the stored version is at least as new */
  readonly configure: (text: string, version: number) => Promise<'stored' | 'older' | 'unavailable'>
  readonly status: () => Promise<unknown>
  readonly explain: (kind: keyof typeof explainKinds, name: string) => Promise<ExplainResult>
}

/** Options of {@link createMonitoringServer}. */
export interface MonitoringServerOpts extends Pick<JobServerOpts, 'status' | 'explain'> {
  readonly metrics: () => string
}

/**
 * Creates a read-only HTTP server for monitoring: `/v1/job-status` and `/v1/explain`; any other path returns the
 * metrics.
 * @param opts - sources of the metrics, status and explanations
 * @returns the server, which does not listen yet
 */
export function createMonitoringServer (opts: MonitoringServerOpts): Server {
  return createServer(limitedServerOptions, (req, res) => {
    handleMonitoringRequest(req, res, opts).catch(error => sendJson(res, 500, { code: 'INTERNAL', message: String(error), hint: 'See the entry\'s log.' }))
  })
}

async function handleMonitoringRequest (req: IncomingMessage, res: ServerResponse, opts: MonitoringServerOpts): Promise<void> {
  const url = new URL(req.url ?? '/', 'http://entry')
  if (url.pathname === '/v1/job-status') return sendJson(res, 200, await opts.status())
  if (url.pathname === '/v1/explain') return await explain(url, res, opts)
  res.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(opts.metrics())
}

/**
 * Creates the HTTP server on which callers submit, query and cancel jobs and operators configure and inspect queues.
 * @param opts - key, and handlers of the requests
 * @returns the server, which does not listen yet
 */
export function createJobServer (opts: JobServerOpts): Server {
  return createServer(limitedServerOptions, (req, res) => {
    handleRequest(req, res, opts).catch(error => sendJson(res, 500, { code: 'INTERNAL', message: String(error), hint: 'See the entry\'s log.' }))
  })
}

async function handleRequest (req: IncomingMessage, res: ServerResponse, opts: JobServerOpts): Promise<void> {
  const url = new URL(req.url ?? '/', 'http://entry')
  const route = `${req.method ?? 'GET'} ${url.pathname}`
  const job = JOB_PATH.exec(url.pathname)
  const queue = QUEUE_PATH.exec(url.pathname)
  if (route === 'POST /v1/jobs') return await submitJob(req, res, opts)
  if (queue !== null && req.method === 'GET') return await pending(queue[1] ?? '', req, res, opts)
  if (job !== null && (req.method === 'GET' || req.method === 'DELETE')) return await handleJobRequest({ queue: job[1] ?? '', id: job[2] ?? '' }, req, res, opts)
  const access = operatorAccessOf(req, opts)
  if (access.kind === 'refused') return sendRefusal(res, access)
  if (route === 'POST /v1/job-config') return await configure(req, res, opts)
  if (route === 'GET /v1/job-status') return sendJson(res, 200, await opts.status())
  if (route === 'GET /v1/explain') return await explain(url, res, opts)
  sendError(res, 404, 'NO_ROUTE', `${route} does not exist`, 'See docs/OPERATORS.md.')
}

async function submitJob (req: IncomingMessage, res: ServerResponse, opts: JobServerOpts): Promise<void> {
  const early = jobAccessOf(req, opts.publicQueue(), opts)
  if (early.kind === 'refused') return sendRefusal(res, early)
  const body = await readJson(req)
  if (body === overload) return sendOverload(res)
  const parsed = jobSchema.safeParse(body)
  if (!parsed.success) return sendError(res, 400, 'JOB_INVALID', formatIssues(parsed.error.issues, body).join('; '), 'Correct the job; nothing was stored.')
  const queue = opts.queue(parsed.data.queue)
  if (queue === undefined) return sendQueueNotFound(res, parsed.data.queue)
  const access = jobAccessOf(req, queue, opts)
  if (access.kind === 'refused') return sendRefusal(res, access)
  const { account } = access
  const result = await opts.intake.submit({ ...parsed.data, address: addressOf(queue), service: queue.service, attempts: queue.attempts, acceptedAt: Date.now(), ...(account === undefined ? {} : { account }) })
  if (result.kind === 'accepted') return sendJson(res, 202, { id: parsed.data.id, state: 'accepted' })
  if (result.kind === 'taken') return sendError(res, 409, 'JOB_ID_TAKEN', 'a job of another client account, or of another queue of the service, has this id', 'Choose another id.')
  if (result.kind === 'unknown') return sendError(res, 504, 'JOB_UNKNOWN', 'it is unknown whether the job was accepted', 'Submit it again with the same id: it remains one job.')
  sendJson(res, 503, { code: 'JOB_REFUSED', message: 'the job was not accepted; this request never runs it', hint: 'Submit it again later.' }, { 'retry-after': String(result.retryAfterS) })
}

async function handleJobRequest (jobRef: { queue: string, id: string }, req: IncomingMessage, res: ServerResponse, opts: JobServerOpts): Promise<void> {
  const queue = opts.queue(jobRef.queue)
  const access = jobAccessOf(req, queue, opts)
  if (access.kind === 'refused') return sendRefusal(res, access)
  if (queue === undefined) return sendQueueNotFound(res, jobRef.queue)
  const state = req.method === 'GET' ? await opts.intake.state(queue, jobRef.id, access.owner) : await opts.intake.cancel(queue, jobRef.id, access.owner)
  if (state === 'none') return sendError(res, 410, 'JOB_GONE', `there is no job ${jobRef.id}`, 'The record of a job is deleted some time after the job has ended.')
  if (state === 'unavailable') return sendError(res, 503, 'JOB_UNREADABLE', 'the state of the job is unavailable', 'Retry, or send the request to another entry.')
  if (state === 'unknown') return sendError(res, 504, 'JOB_UNKNOWN', 'it is unknown whether the job was cancelled', 'Cancel it again.')
  sendJson(res, 200, { id: jobRef.id, state })
}

async function pending (name: string, req: IncomingMessage, res: ServerResponse, opts: JobServerOpts): Promise<void> {
  const queue = opts.queue(name)
  const access = jobAccessOf(req, queue, opts)
  if (access.kind === 'refused') return sendRefusal(res, access)
  if (queue === undefined) return sendQueueNotFound(res, name)
  const count = await opts.intake.pending(queue)
  if (count === undefined) return sendError(res, 503, 'QUEUE_UNREADABLE', 'the queue is unavailable', 'Retry: the service of the queue may be electing a leader.')
  sendJson(res, 200, { queue: name, pending: count })
}

async function configure (req: IncomingMessage, res: ServerResponse, opts: JobServerOpts): Promise<void> {
  const body = await readJson(req)
  if (body === overload) return sendOverload(res)
  const parsed = configSchema.safeParse(body)
  if (!parsed.success) return sendError(res, 400, 'JOB_CONFIG_INVALID', formatIssues(parsed.error.issues, body).join('; '), 'Correct the configuration; nothing was stored.')
  const stored = await opts.configure(JSON.stringify(parsed.data), parsed.data.version)
  if (stored === 'stored') return sendJson(res, 200, { version: parsed.data.version })
  if (stored === 'older') return sendError(res, 409, 'JOB_CONFIG_OLDER', `version ${parsed.data.version} is not newer than the stored version`, 'Increase the version.')
  sendError(res, 503, 'STORE_UNAVAILABLE', 'the store does not respond', 'Retry.')
}

async function explain (url: URL, res: ServerResponse, opts: Pick<JobServerOpts, 'explain'>): Promise<void> {
  const kind = url.searchParams.get('kind') ?? ''
  const name = url.searchParams.get('name') ?? ''
  if (!(kind in explainKinds) || name === '') return sendError(res, 400, 'BAD_SUBJECT', 'kind or name is missing or invalid', `Use a name and one of the kinds ${Object.keys(explainKinds).join(', ')}.`)
  const result = await opts.explain(kind as keyof typeof explainKinds, name)
  if (result.kind === 'explained') return sendJson(res, 200, result.explanation)
  if (result.kind === 'undeclared') return sendError(res, 404, 'WAVE_UNKNOWN', `wave ${name} is not declared`, 'Check the number; an entry without the store may not know a new wave: query another one.')
  if (kind === explainKinds.wave) return sendError(res, 503, 'WAVE_UNTRACKED', `wave ${name} is declared, but no fleet leader tracks it`, 'Retry: the fleet may be electing a leader. If this lasts, see docs/OPERATIONS.md.')
  sendError(res, 404, 'NOT_FOUND', `no leader tracks ${kind} ${name}`, 'Check the name; a service without a leader cannot be queried.')
}

function sendOverload (res: ServerResponse): void {
  sendJson(res, 503, { code: 'OVERLOADED', message: 'the entry holds too many bodies; nothing was stored, and this request never runs', hint: 'Send it again later.' }, { 'retry-after': '1' })
}

function sendQueueNotFound (res: ServerResponse, name: string): void {
  sendError(res, 404, 'NO_QUEUE', `there is no queue ${name}`, 'Run wisteriaslip jobs status to list the queues.')
}

function sendRefusal (res: ServerResponse, { reason }: Extract<Access, { kind: 'refused' }>): void {
  const { code, message, hint } = accessErrors[reason]
  sendError(res, 401, code, message, hint)
}

function sendError (res: ServerResponse, status: number, code: string, message: string, hint: string): void {
  sendJson(res, status, { code, message, hint })
}
