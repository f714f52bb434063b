import type { Server } from 'node:http'
import { guardServer, type ClientLimits } from '@wisteriaslip/core.http-limits'
import type { Logger } from '@wisteriaslip/core.logger'
import type { AccessKeys, Settings } from '@wisteriaslip/config.settings'
import { JobEntry } from '@wisteriaslip/jobs.entry'
import { createJobServer, HttpWorkerClient, jobStoreLayout } from '@wisteriaslip/jobs.http'
import type { JobLimits, StoreLayout } from '@wisteriaslip/jobs.model'
import type { Driver } from '@wisteriaslip/store.client'
import { EtcdDriver } from '@wisteriaslip/store.etcd-gateway'

const CONFIG_WRITE_TIMEOUT_MS = 2_000
/** Zero because the request side's waves, not the job side, carry out VM maintenance. */
const NO_MAINTENANCE_MS = 0

/**
 * Runs the job side of an entry until the signal aborts. Returns at once if the settings have no `jobs` section.
 * @param settings - settings of the entry
 * @param keys - keys of operators and peers; undefined if the settings name no keys, which they may omit only with
 * `trialWithoutKeys`
 * @param opts - logger, limits on clients, and the signal that requests the shutdown
 * @throws when a server cannot listen on its address
 */
export async function runJobs (settings: Settings, keys: AccessKeys | undefined, opts: { logger: Logger, limits: ClientLimits, signal: AbortSignal }): Promise<void> {
  const { jobs } = settings
  if (jobs === undefined) return
  const prefix = `${settings.store.prefix}-jobs`
  const driver = new EtcdDriver(settings.store.endpoints)
  const storeLayout = jobStoreLayout(prefix)
  const workers = new HttpWorkerClient()
  const entry = new JobEntry({
    id: settings.id,
    zone: settings.zone,
    region: settings.region,
    keyPrefix: prefix,
    availableCores: 1,
    peers: jobs.peers,
    peerKey: keys?.peers,
    driver,
    store: { readsPerSecond: settings.store.readsPerSecond, writesPerSecond: settings.store.writesPerSecond },
    storeLayout,
    workers,
    fleetClient: undefined,
    permitClient: undefined,
    limits: toLimits(settings),
    logger: opts.logger
  })
  const server = createJobServer({
    key: keys?.operators,
    callGate: entry.callGate,
    publicQueue: () => entry.site.config()?.queues.find(queue => queue.public === true),
    intake: entry.intake,
    queue: name => entry.site.queue(name),
    configure: async (text, version) => await configure(driver, storeLayout, { text, version }),
    status: async () => await entry.status(),
    explain: async (kind, name) => await entry.explain({ kind, name })
  })
  server.prependListener('request', (_req, res) => entry.trackRequest(res))
  guardServer(server, opts.limits)
  opts.limits.report(entry.metrics)
  await listen(server, jobs.listen)
  await entry.run(opts.signal, [server])
  workers.close()
}

function toLimits (settings: Settings): JobLimits {
  const { longestLeaseMs = 0, stopMs = 0, keepMs = 0 } = settings.jobs ?? {}
  return { longestLeaseMs, stopMs, keepMs, shutdownGraceMs: settings.shutdownMs, maintenanceMs: NO_MAINTENANCE_MS }
}

/** Stores a configuration only if its version is newer than that of the stored one. */
async function configure (driver: Driver, storeLayout: StoreLayout, next: { text: string, version: number }): Promise<'stored' | 'older' | 'unavailable'> {
  const signal = AbortSignal.timeout(CONFIG_WRITE_TIMEOUT_MS)
  const current = await driver.range(storeLayout.configKey, { signal })
  if (!current.ok) return 'unavailable'
  const existing = current.value.kvs[0]
  const version = existing === undefined ? 0 : storeLayout.decodeConfig(existing.value)?.version ?? 0
  if (next.version <= version) return 'older'
  const written = await driver.txn({ guards: [{ key: storeLayout.configKey, modRevision: existing?.modRevision ?? 0 }], puts: [{ key: storeLayout.configKey, value: next.text }], deletes: [] }, signal)
  if (!written.ok) return 'unavailable'
  return written.value.succeeded ? 'stored' : 'older'
}

async function listen (server: Server, at: { host: string, port: number }): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(at.port, at.host, resolve)
  })
}
