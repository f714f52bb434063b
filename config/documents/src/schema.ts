import { z } from 'zod'

const name = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'must be lower-case letters, digits, dots and dashes')
const label = z.string().min(1).max(128)
const labels = z.record(z.string().min(1).max(64), label)
const selector = z.record(z.string().min(1).max(64), z.union([label, z.array(label).min(1).max(64)]))
const count = z.number().int().min(0)
const share = z.string().regex(/^\d{1,3}%$/, 'must be a whole percentage such as "25%"')
const amount = z.union([count, share])

/** Labels of a VM or pool. */
export type Labels = z.infer<typeof labels>
/** Labels that must be present, each with one of the given values. */
export type Selector = z.infer<typeof selector>

const pool = z.strictObject({
  kind: z.literal('pool'),
  name,
  labels: labels.default({}),
  /** VMs that may be in this pool. */
  selector,
  /** Where selectors overlap, a VM is assigned to the pool with the lowest order. */
  order: z.number().int().min(0).max(10_000).default(100),
  budget: z.union([
    z.strictObject({ minAvailable: amount }),
    z.strictObject({ maxUnavailable: amount })
  ]),
  /** VMs of this pool may be moved to pools that are short of VMs. */
  spare: z.boolean().default(false)
})

const workload = z.strictObject({
  kind: z.literal('workload'),
  name,
  match: z.strictObject({
    pathPrefix: z.string().regex(/^\/[^\s?#]*$/, 'must start with a slash'),
    methods: z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])).min(1).optional()
  }),
  /** Selects the pool that runs this workload by its labels; exactly one pool must match. */
  poolSelector: selector,
  class: name,
  /** Classes that a caller may request instead of `class`. */
  otherClasses: z.array(name).max(16).default([]),
  idempotent: z.boolean(),
  /** Longest time from the arrival of a request to its complete response, in milliseconds. */
  deadlineMs: z.number().int().min(10).max(600_000),
  /** Longest time of one run on a target, in milliseconds. */
  maxRunMs: z.number().int().min(10).max(600_000)
})

const priorityClass = z.strictObject({
  kind: z.literal('class'),
  name,
  /** Urgency; 0 is the most urgent. */
  rank: z.number().int().min(0).max(100),
  /** Share of a pool's slots that the class keeps while it has work, regardless of the load of other classes. */
  floor: z.number().min(0).max(1)
})

const tenant = z.strictObject({
  kind: z.literal('tenant'),
  name,
  /** SHA-256 in hex of the account's key. Callers that send no key belong to the account without one. */
  keySha256: z.string().regex(/^[0-9a-f]{64}$/).optional(),
  /** Weight relative to other client accounts within a class. */
  quota: z.number().positive().max(1_000_000).default(1)
})

const vm = z.strictObject({
  kind: z.literal('vm'),
  name,
  role: z.enum(['executor', 'worker']),
  address: z.strictObject({ host: z.string().ip(), port: z.number().int().min(1).max(65_535) }),
  region: z.string().min(1).max(64),
  zone: z.string().min(1).max(64),
  rack: z.string().min(1).max(64),
  labels: labels.default({}),
  /** Number of requests that may run on an executor at the same time. */
  slots: z.number().int().min(1).max(1_024).default(8),
  /** Number of connections that an executor accepts, shared equally by up to `maxEntries` entries. */
  connections: z.number().int().min(1).max(65_536).default(64),
  cores: z.number().min(0).default(64),
  memoryGb: z.number().min(0).default(128),
  accelerators: z.number().int().min(0).default(0),
  cordoned: z.boolean().default(false)
})

const wave = z.strictObject({
  kind: z.literal('wave'),
  name,
  selector,
  state: z.enum(['running', 'paused', 'cancelled']).default('running'),
  /** Time after which the drain of a VM is abandoned, in milliseconds. */
  drainTimeoutMs: z.number().int().min(0).default(600_000),
  /** Time after which a rebooting VM that is not back in service counts as overdue, in milliseconds. */
  returnTimeoutMs: z.number().int().min(100).default(900_000)
})

/** Schema of each kind of document. */
export const documentSchema = z.discriminatedUnion('kind', [pool, workload, priorityClass, tenant, vm, wave])

/** Operator document of any kind. */
export type Document = z.infer<typeof documentSchema>
/** Kind of an operator document. */
export type DocumentKind = Document['kind']
/** Operator document of one kind. */
export type DocumentOf<K extends DocumentKind> = Extract<Document, { kind: K }>
/** A pool of VMs and its disruption budget. */
export type PoolDoc = DocumentOf<'pool'>
/** A workload: which requests belong to it, the pool that runs them, and their time limits. */
export type WorkloadDoc = DocumentOf<'workload'>
/** A priority class. */
export type ClassDoc = DocumentOf<'class'>
/** A client account: a customer team with a quota. */
export type TenantDoc = DocumentOf<'tenant'>
/** A VM as declared by operators. */
export type VmDoc = DocumentOf<'vm'>
/** A maintenance wave as declared by operators. */
export type WaveDoc = DocumentOf<'wave'>

/** All kinds, ordered so that a document depends only on kinds before its own. */
export const documentKinds = ['class', 'tenant', 'vm', 'pool', 'workload', 'wave'] as const satisfies readonly DocumentKind[]
