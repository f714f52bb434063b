import { initTRPC } from '@trpc/server'
import type { RelayRequest } from '@wisteriaslip/peers.protocol'
import { z } from 'zod'
import type { JobPeerService, JobNotification } from './service.ts'

const t = initTRPC.create()

/** Host and path prefix of a queue. */
const MAX_ADDRESS_CHARS = 2_048
const name = z.string().min(1).max(256)
const jobRefSchema = z.object({ service: name, id: name })
const jobNotificationSchema = z.object({ job: z.object({ id: name, service: name, queue: name }).passthrough() })
const relaySchema = z.object({ op: z.enum(['range', 'txn', 'grant', 'keepAlive', 'revoke']) }).passthrough()

/**
 * Creates the tRPC router of the procedures that an entry serves to its peers.
 * @param service - implementation of the procedures
 * @returns the router
 */
export function createJobRouter (service: JobPeerService) {
  return t.router({
    sync: t.procedure.input(z.object({ from: name, revision: z.number(), configVersion: z.number().optional() })).mutation(async ({ input }) => await service.sync(input)),
    push: t.procedure.input(jobNotificationSchema).mutation(async ({ input }) => await service.push(input as unknown as JobNotification)),
    cancelled: t.procedure.input(jobRefSchema).mutation(async ({ input }) => await service.cancelled(input)),
    state: t.procedure.input(jobRefSchema).mutation(async ({ input }) => await service.state(input)),
    pending: t.procedure.input(z.object({ service: name, queue: name, address: z.string().max(MAX_ADDRESS_CHARS).optional() })).mutation(async ({ input }) => await service.pending(input)),
    load: t.procedure.input(z.object({ service: name })).mutation(async ({ input }) => await service.load(input)),
    withdraw: t.procedure.input(z.object({ service: name, vms: z.array(name), fleetToken: z.number().optional() })).mutation(async ({ input }) => await service.withdraw(input)),
    explain: t.procedure.input(z.object({ kind: z.enum(['job', 'worker', 'pool', 'wave']), name })).mutation(async ({ input }) => await service.explain(input)),
    relay: t.procedure.input(relaySchema).mutation(async ({ input }) => await service.relay(input as unknown as RelayRequest))
  })
}
