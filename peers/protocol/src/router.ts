import { initTRPC } from '@trpc/server'
import { z } from 'zod'
import type { PeerService, RelayRequest } from './service.ts'

const t = initTRPC.create()

const name = z.string().min(1).max(256)
const slots = z.record(z.string(), z.number().int().min(0))
const count = z.number().int().min(0)

const syncSchema = z.object({ from: name, incarnation: name, revision: count })

const loanSchema = z.object({ id: name, from: name, to: name, target: name, slots: count })

const reportSchema = z.object({
  from: name,
  incarnation: name,
  seq: count,
  heard: z.boolean(),
  pools: z.array(z.object({
    pool: name,
    token: count,
    held: slots,
    demand: z.array(z.object({ class: name, tenant: name, count })).max(256),
    loans: z.array(loanSchema).max(1_000),
    leaving: z.array(name).max(1_000)
  })).max(10_000)
})

const claimSchema = z.object({
  id: name,
  bodyHash: name,
  requestId: name,
  settleWithinMs: z.number().min(0),
  issuedBy: name.optional()
})

const recordedResponseSchema = z.object({ status: z.number().int(), headers: z.record(z.string(), z.string()), bodyBase64: z.string() })

const settleSchema = z.object({
  id: name,
  requestId: name,
  issuedBy: name.optional(),
  result: z.union([z.literal('released'), z.literal('lost'), z.object({ outcome: recordedResponseSchema })])
})

const relaySchema = z.object({ op: z.enum(['range', 'txn', 'grant', 'keepAlive', 'revoke']) }).passthrough()

const explainSchema = z.object({ kind: z.enum(['vm', 'pool', 'wave', 'request', 'resource', 'job']), name })

/**
 * Creates the tRPC router of a service.
 * @param service - service that this entry provides to its peers
 * @returns the router
 */
export function createPeerRouter (service: PeerService) {
  return t.router({
    sync: t.procedure.input(syncSchema).mutation(async ({ input }) => await service.sync(input)),
    report: t.procedure.input(reportSchema).mutation(async ({ input }) => await service.report(input)),
    nudge: t.procedure.input(z.object({ from: name })).mutation(async ({ input }) => await service.nudge(input)),
    borrow: t.procedure.input(z.object({ pool: name, to: name, slots: count })).mutation(async ({ input }) => await service.borrow(input)),
    claim: t.procedure.input(claimSchema).mutation(async ({ input }) => await service.claim(input)),
    settle: t.procedure.input(settleSchema).mutation(async ({ input }) => await service.settle(input)),
    relay: t.procedure.input(relaySchema).mutation(async ({ input }) => await service.relay(input as unknown as RelayRequest)),
    loads: t.procedure.mutation(async () => await service.loads()),
    explain: t.procedure.input(explainSchema).mutation(async ({ input }) => await service.explain(input))
  })
}

/** Type of the router, from which the client's types follow. */
export type PeerRouter = ReturnType<typeof createPeerRouter>
