import { z } from 'zod'

const ipAddress = z.string().ip({ message: 'must be an IP number, not a host name' })

const address = z.strictObject({
  host: ipAddress,
  port: z.number().int().min(0).max(65_535)
})

/** IP address and port to listen on or connect to. */
export type Address = z.infer<typeof address>

const key = z.union([
  z.strictObject({ file: z.string().min(1) }),
  z.strictObject({ env: z.string().min(1) })
])

/** Schema of the settings file. Unknown keys are rejected. */
export const settingsSchema = z.strictObject({
  /** Name of this entry; must be unique among the running entries. */
  id: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/),
  region: z.string().min(1).max(64),
  zone: z.string().min(1).max(64),
  callers: address,
  operators: address,
  peers: address,
  /** Address at which other entries reach `peers`, if it differs from the address it listens on. */
  peersAdvertised: address.optional(),
  store: z.strictObject({
    endpoints: z.array(z.string().url()).min(1).max(16),
    prefix: z.string().regex(/^[a-z0-9-]{1,32}$/).default('wisteriaslip'),
    readsPerSecond: z.number().positive().default(60),
    writesPerSecond: z.number().positive().default(30),
    leaseTtlMs: z.number().int().min(2_000).max(60_000).default(5_000),
    callTimeoutMs: z.number().int().min(50).max(10_000).default(800)
  }),
  vmList: z.strictObject({
    url: z.string().url(),
    periodMs: z.number().int().min(100).default(1_000)
  }).optional(),
  /** Addresses of peers from which to load the state when the store is unavailable at startup. */
  seedPeers: z.array(address).max(64).default([]),
  /** Maximum number of running entries; each may use an equal share (1/`maxEntries`) of a target's connections. */
  maxEntries: z.number().int().min(1).max(64).default(8),
  keys: z.strictObject({ operators: key, peers: key }).optional(),
  /** Must be set explicitly to run without keys: operators and peers are then not authenticated. For trials only. */
  trialWithoutKeys: z.boolean().default(false),
  limits: z.strictObject({
    /** Largest body of a request. */
    bodyBytes: z.number().int().min(1).default(1_048_576),
    /** Largest sum of the bodies of the requests that wait for a slot, per pool. */
    queueBytes: z.number().int().min(1).default(16_777_216),
    /** Longest time to read the body of a request. */
    callerTimeoutMs: z.number().int().min(100).default(10_000)
  }).default({}),
  /** What the process may use; clients get a part of it. */
  processLimits: z.strictObject({
    /** Resident memory in MB. */
    memoryMb: z.number().positive().default(350),
    /** Descriptors. */
    maxFds: z.number().int().min(300).default(4_100)
  }).default({}),
  /** If set, jobs are accepted as well. */
  jobs: z.strictObject({
    listen: address,
    peers: address,
    /** Longest lease that any leader may have granted to a worker. */
    longestLeaseMs: z.number().int().min(1_000).default(10_000),
    /** Time that a run may take to end after a stop command. */
    stopMs: z.number().int().min(0).default(1_000),
    /** Retention time of the records of finished jobs. */
    keepMs: z.number().int().min(1_000).default(600_000)
  }).optional(),
  shutdownMs: z.number().int().min(0).default(60_000),
  logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']).default('info')
}).refine(settings => settings.keys !== undefined || settings.trialWithoutKeys, {
  path: ['keys'],
  message: 'missing; name the key files, or set "trialWithoutKeys": true for a trial'
})

/** Settings that passed validation, with defaults filled in. */
export type Settings = z.infer<typeof settingsSchema>
