import type { IncomingMessage, ServerResponse } from 'node:http'
import { readBody } from '@wisteriaslip/core.http-limits'
import { parseJson } from '@wisteriaslip/core.result'
import { isWellFormed } from '@wisteriaslip/jobs.accounts'
import { whyTooLarge } from '@wisteriaslip/jobs.model'
import { z } from 'zod'

/** Paths of the worker interface. */
export const workerPaths = { start: '/v1/runs/start', stop: '/v1/runs/stop', setSpeed: '/v1/runs/pace', poll: '/v1/runs/look' } as const

/** Result of {@link readJson} when the process holds too much for its clients. */
export const overload = Symbol('overload')

const MAX_BODY_BYTES = 1_048_576
const MAX_TASKS_PER_STEP = 10_000
const MAX_PAYLOAD_CHARS = 65_536
const MAX_NAME_CHARS = 256

/** What is computed with, stored or sent on must be in this range: a number beyond it would become another one, or `null`, in JSON. */
const safeNumber = z.number().safe()
const count = safeNumber.int().min(0)
const amount = safeNumber.min(0).default(0)

const resourcesSchema = z.strictObject({ cpu: amount, memMb: amount, accelerators: amount })

const stepSchema = z.strictObject({
  tasks: z.number().int().min(1).max(MAX_TASKS_PER_STEP),
  demand: resourcesSchema.default({}),
  estimateMs: amount,
  after: z.array(count).default([]),
  checkpoints: z.boolean().default(false),
  gang: z.boolean().default(false),
  oneRack: z.boolean().default(false),
  label: z.string().default(''),
  dataRack: z.string().default(''),
  perWorker: count.default(0),
  copies: z.boolean().default(false),
  lasting: z.boolean().default(false),
  image: z.string().default(''),
  latencyTargetMs: amount,
  backfill: z.boolean().default(false),
  mayMiss: count.default(0)
})

/** A job as callers submit it. */
export const jobSchema = z.strictObject({
  id: z.string().regex(/^[A-Za-z0-9_-]{1,64}$/, 'must be 1 to 64 letters, digits, _ or -'),
  queue: z.string().min(1),
  payload: z.string().max(MAX_PAYLOAD_CHARS).default(''),
  steps: z.array(stepSchema).min(1),
  schedule: z.strictObject({ times: count.min(1), firstMs: safeNumber, everyMs: safeNumber.min(0) }).optional()
}).superRefine((job, context) => {
  const tooLarge = whyTooLarge(job.steps)
  if (tooLarge !== undefined) context.addIssue({ code: 'custom', path: ['steps'], message: tooLarge })
  for (const [number, step] of job.steps.entries()) {
    if (step.after.some(before => before >= number)) context.addIssue({ code: 'custom', path: ['steps', number, 'after'], message: 'must refer to earlier steps only' })
  }
})

const accountSchema = z.strictObject({
  name: z.string().min(1).max(MAX_NAME_CHARS).refine(isWellFormed, 'must be well-formed Unicode text'),
  keySha256: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 digest in lower-case hex')).default([]),
  weight: safeNumber.positive().default(1),
  quota: resourcesSchema.default({})
})

/** Configuration of queues, services and client accounts as operators submit it. */
export const configSchema = z.strictObject({
  version: safeNumber.int().min(1),
  services: z.array(z.strictObject({ name: z.string().min(1), guardsCapacity: z.boolean().default(true), standby: z.boolean().default(false) })),
  queues: z.array(z.strictObject({
    name: z.string().min(1),
    service: z.string().min(1),
    priority: count.default(0),
    attempts: safeNumber.int().min(1).default(3),
    stretch: safeNumber.min(1).default(2),
    objectiveMs: safeNumber.min(0).default(1_000),
    timeoutMs: safeNumber.min(0).default(10_000),
    public: z.boolean().optional()
  })),
  accounts: z.array(accountSchema).optional()
}).superRefine(({ accounts = [] }, context) => {
  for (const [number, account] of accounts.entries()) {
    const earlier = accounts.slice(0, number)
    if (earlier.some(({ name }) => name === account.name)) context.addIssue({ code: 'custom', path: ['accounts', number, 'name'], message: 'must differ from that of the other accounts' })
    if (earlier.some(({ keySha256 }) => keySha256.some(digest => account.keySha256.includes(digest)))) context.addIssue({ code: 'custom', path: ['accounts', number, 'keySha256'], message: 'must differ from those of the other accounts' })
  }
})

const shortText = z.string().max(MAX_NAME_CHARS)

/**
 * A worker's registration in the store. What peers and the store could not carry or no socket could use is refused: a
 * value beyond a number's range becomes `null` in JSON.
 */
export const workerRegistrationSchema = z.object({
  id: shortText.min(1),
  born: z.number().min(0).safe(),
  service: shortText,
  host: shortText.regex(/^[\w.:[\]-]+$/),
  port: z.number().int().min(1).max(65_535),
  zone: shortText.default(''),
  vm: shortText.default(''),
  draining: z.boolean().default(false),
  capacity: resourcesSchema,
  labels: z.array(shortText).default([]),
  rack: shortText.default('')
})

const endpointFields = { worker: z.string(), token: z.number() }
const runFields = { task: z.string(), attempt: z.number().int().safe() }

/** Commands and polls as workers receive them. */
export const commandSchemas = {
  start: z.object({ ...endpointFields, ...runFields, payload: z.string(), leaseUntilMs: z.number(), checkpoint: z.string(), permit: z.string() }),
  stop: z.object({ ...endpointFields, ...runFields }),
  setSpeed: z.object({ ...endpointFields, ...runFields, percent: z.number() }),
  poll: z.object({ ...endpointFields, leaseUntilMs: z.number().optional(), seenSeq: z.number(), waitMs: z.number() })
} as const

/** A worker's response to a command that it executed. */
export const clockSchema = z.object({ clockMs: safeNumber })

/** A worker's response to a poll. One task must not make the reports of all its workers unreadable: what can be done without has a default. */
export const reportSchema = z.object({
  clockMs: safeNumber,
  born: safeNumber.optional(),
  running: z.array(z.object({ ...runFields, checkpoint: z.string().catch(''), percent: safeNumber.catch(0), load: safeNumber.catch(0) })),
  ended: z.array(z.object({ ...runFields, seq: safeNumber, how: z.enum(['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone']).catch('failed'), checkpoint: z.string().catch('') })),
  /** A worker that lists all of its completions may leave this out. */
  moreEnded: z.boolean().default(false)
})

/** A worker's response when it refuses a command or poll. */
export const refusalSchema = z.object({ kind: z.enum(['refused', 'other-life']), reason: z.enum(['fence', 'old', 'late', 'room', 'permit', 'unhealthy', 'invalid']).optional() })

/**
 * Reads the body of a request.
 * @param req - the request
 * @returns the parsed JSON, undefined when the body is larger than 1 MiB, incomplete or not JSON; `overload` when the process
 * holds too much for its clients
 */
export async function readJson (req: IncomingMessage): Promise<unknown> {
  const body = await readBody(req, { maxBytes: MAX_BODY_BYTES, drainBytes: MAX_BODY_BYTES })
  if (body.kind === 'overload') return overload
  return body.kind === 'whole' ? parseJson(body.bytes.toString()) : undefined
}

/**
 * Sends a JSON response unless headers have been sent already.
 * @param res - response to write
 * @param status - HTTP status code
 * @param body - value to send as JSON
 * @param headers - additional headers
 */
export function sendJson (res: ServerResponse, status: number, body: unknown, headers: Record<string, string> = {}): void {
  if (res.headersSent) return
  res.writeHead(status, { 'content-type': 'application/json', ...headers })
  res.end(JSON.stringify(body))
}
