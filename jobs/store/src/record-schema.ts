import { whyTooLarge, type Job } from '@wisteriaslip/jobs.model'
import type { JobProgress } from '@wisteriaslip/jobs.scheduler'
import { z } from 'zod'

const count = z.number().int().min(0)

const stepSchema = z.object({
  tasks: z.number().int().min(1),
  demand: z.object({ cpu: z.number(), memMb: z.number(), accelerators: z.number() }),
  estimateMs: z.number(),
  after: z.array(count)
})

const jobSchema = z.object({
  id: z.string(),
  queue: z.string(),
  service: z.string(),
  payload: z.string(),
  steps: z.array(stepSchema).min(1).refine(steps => steps.every((step, number) => step.after.every(before => before < number)) && whyTooLarge(steps) === undefined),
  schedule: z.object({ times: count, firstMs: z.number(), everyMs: z.number() }).optional(),
  acceptedAt: z.number(),
  acceptedUnder: z.number()
})

/** First and last number of each range. */
const rangesSchema = z.array(z.number().int().safe()).refine(ranges => ranges.length % 2 === 0)

const progressSchema = z.object({
  tasks: z.record(z.object({
    done: z.boolean().optional(),
    failedAttempts: z.array(z.number()).optional(),
    checkpoint: z.string().optional(),
    crashes: z.array(z.object({ worker: z.string(), survivedMs: z.number(), atStart: z.boolean().optional(), silentAfterMs: z.number().optional(), onTrial: z.boolean().optional() })).optional()
  })),
  stepsDone: z.array(z.string()),
  occurrencesEnded: z.array(z.number()),
  doneTasks: z.record(rangesSchema).optional(),
  endedRanges: rangesSchema.optional(),
  outcome: z.enum(['completed', 'failed', 'cancelled']).optional()
})

/**
 * @param value - value of a stored job
 * @returns whether a leader can run it; the record of a later version may have more fields
 */
export function isJob (value: unknown): value is Job {
  return jobSchema.safeParse(value).success
}

/**
 * @param value - value of a stored progress record
 * @returns whether a leader can continue from it
 */
export function isProgress (value: unknown): value is JobProgress {
  return progressSchema.safeParse(value).success
}
