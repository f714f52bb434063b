import { explainPair, type Scheduler } from '@wisteriaslip/jobs.scheduler'
import type { ServiceTermOpts } from './ports.ts'

const MAX_EXPLAINED_PAIRS = 50
const messages = { found: 'images that slow each other down are kept apart', dropped: 'images are no longer kept apart' } as const

/**
 * Logs and counts the pairs of images that were found to slow each other down, or are no longer taken for such, since the previous call.
 * @param scheduler - scheduler of the term
 * @param opts - options of the term
 */
export function logCompany (scheduler: Scheduler, { service, token, logger, metrics }: ServiceTermOpts): void {
  for (const { change, ...pair } of scheduler.company.takeChanges()) {
    metrics.count('disturbing_pairs_total', { service, change })
    logger.info({ service, token, ...explainPair(pair) }, messages[change])
  }
}

/**
 * @param scheduler - scheduler of a service
 * @returns the pairs of images that are kept apart; nothing if there is none
 */
export function explainPairs (scheduler: Scheduler): Record<string, unknown> {
  const pairs = scheduler.company.pairs()
  return pairs.length === 0 ? {} : { keptApart: pairs.slice(0, MAX_EXPLAINED_PAIRS).map(explainPair) }
}
