import { randomBytes } from 'node:crypto'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { JobProcesses } from '@wisteriaslip/testing.jobs'
import { Site } from '@wisteriaslip/testing.site'
import { SoakSite } from '@wisteriaslip/testing.soak'

const SEED = 1
const LONGEST_LEASE_MS = 6_000
const demand = { cpu: 10, memMb: 1, accelerators: 0 }

/** An entry process that a crowd presses. */
export interface CrowdTarget {
  readonly pid: number
  readonly host: string
  readonly port: number
  /** Value of the `Host` header. */
  readonly hostHeader: string
  /** @returns path of a request with a body */
  readonly path: () => string
  /** Path of a request that reads. */
  readonly readPath: string
  /** @returns body of an ordinary request; blanks lengthen it to the given number of bytes, which is still valid */
  readonly body: (bytes?: number) => string
  /** Status of the response to an ordinary request. */
  readonly status: number
  /** Ends the process and everything that it uses. */
  readonly close: () => Promise<void>
}

/** Limits in the settings of an entry of the platform. */
export interface EntryLimits {
  readonly memoryMb: number
  readonly maxFds: number
}

/**
 * Starts one entry on stand-ins of the platform.
 * @param limits - limits in its settings
 * @returns the entry, ready
 */
export async function startPlatformEntry (limits: EntryLimits): Promise<CrowdTarget> {
  const folder = await mkdtemp(join(tmpdir(), 'wisteriaslip-crowd-'))
  const site = await SoakSite.start({ seed: SEED, entries: 1, pools: [{ name: 'report', vms: 1 }], longestLeaseMs: LONGEST_LEASE_MS, folder, binary: undefined, limits })
  const entry = site.entries[0]
  const job = { spec: JSON.stringify({ cpu: 10, memMb: 1, gpu: 0, runMs: 50, failShare: 0 }), steps: [{ count: 1, cpu: 10, memMb: 1, estimateMs: 50 }] }
  return {
    pid: entry?.pid() ?? 0,
    ...entry?.callers() ?? { host: '', port: 0 },
    hostHeader: 'jobs.example',
    path: () => `${site.queues[0]?.path ?? ''}${randomBytes(8).toString('hex')}`,
    readPath: `${site.queues[0]?.path ?? ''}0123456789abcdef`,
    body: bytes => JSON.stringify(job).padEnd(bytes ?? 0),
    status: 200,
    close: async () => {
      await site.close()
      await rm(folder, { recursive: true })
    }
  }
}

/** Starts one entry with the product's job interface. @returns the entry, ready */
export async function startJobInterface (): Promise<CrowdTarget> {
  const site = await JobProcesses.start({ entries: 1, plan: () => ({ runMs: 50, how: 'done', demand, members: 1 }) })
  const { hostname, port, host } = new URL(site.entries[0]?.jobs ?? '')
  return {
    pid: site.entries[0]?.process.child.pid ?? 0,
    host: hostname,
    port: Number(port),
    hostHeader: host,
    path: () => '/v1/jobs',
    readPath: '/v1/jobs/quotes/none',
    body: bytes => JSON.stringify({ id: randomBytes(8).toString('hex'), queue: 'quotes', steps: [{ tasks: 1, demand, estimateMs: 50 }] }).padEnd(bytes ?? 0),
    status: 202,
    close: async () => await site.stop()
  }
}

/** Starts one entry with its gateway for requests. @returns the entry, ready */
export async function startGateway (): Promise<CrowdTarget> {
  const site = await Site.start({ entries: 1, pools: ['quoting'], executorsPerPool: 2 })
  const { hostname, port, host } = new URL(site.entries[0]?.callers ?? '')
  return {
    pid: site.entries[0]?.process.child.pid ?? 0,
    host: hostname,
    port: Number(port),
    hostHeader: host,
    path: () => '/quoting/write?ms=5',
    readPath: '/quoting/write?ms=5',
    body: bytes => 'crew 7'.padEnd(bytes ?? 0),
    status: 200,
    close: async () => await site.stop()
  }
}
