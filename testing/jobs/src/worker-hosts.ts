import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { delay, systemClock } from '@wisteriaslip/core.result'
import { createWorkerServer, jobStoreLayout } from '@wisteriaslip/jobs.http'
import type { WorkerRegistration } from '@wisteriaslip/jobs.model'
import { EtcdDriver } from '@wisteriaslip/store.etcd-gateway'
import { InMemoryWorkers, type RunPlan } from './memory-workers.ts'

const WRITE_TIMEOUT_MS = 2_000
const RETRY_DELAY_MS = 200

/** Workers that listen on loopback and are registered in the store, for demos and tests with entries as processes. */
export class HttpWorkerHosts {
  readonly workers: InMemoryWorkers
  private readonly servers: Server[] = []

  /** @param plan - planned outcome of each run */
  constructor (plan: (task: string, attempt: number) => RunPlan) {
    this.workers = new InMemoryWorkers(() => systemClock.now(), plan)
  }

  /**
   * Starts the workers of a service and registers them; retries until the store accepts each registration.
   * @param store - URL of the store
   * @param opts - name of the service, number of workers, prefix of the product's keys
   */
  async start (store: string, opts: { service: string, count: number, prefix: string }): Promise<void> {
    const driver = new EtcdDriver([store])
    const storeLayout = jobStoreLayout(opts.prefix)
    const port = await this.listen()
    for (let number = 0; number < opts.count; number++) {
      const registration: WorkerRegistration = { id: `${opts.service}-${number}`, born: Date.now(), service: opts.service, host: '127.0.0.1', port, zone: 'here', vm: `vm-${opts.service}-${number}`, draining: false, capacity: { cpu: 4_000, memMb: 8_192, accelerators: 0 }, labels: [], rack: `rack-${number >> 1}` }
      this.workers.add(registration)
      const put = { key: storeLayout.workerPrefix + registration.id, value: JSON.stringify(registration) }
      while (!(await driver.txn({ guards: [], puts: [put], deletes: [] }, AbortSignal.timeout(WRITE_TIMEOUT_MS))).ok) await delay(RETRY_DELAY_MS, new AbortController().signal)
    }
  }

  /** Stops listening and clears the timers of all runs. */
  stop (): void {
    this.workers.close()
    for (const server of this.servers) {
      server.close()
      server.closeAllConnections()
    }
  }

  private async listen (): Promise<number> {
    const server = createWorkerServer(this.workers)
    this.servers.push(server)
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    return (server.address() as AddressInfo).port
  }
}
