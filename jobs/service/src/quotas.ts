import { QuotaHolder } from '@wisteriaslip/jobs.quota'
import type { ServiceTermOpts } from './ports.ts'

/**
 * @param opts - options of a term
 * @param onChange - called when a part of a quota has changed, so that tasks may be started
 * @returns what holds the service's parts of the quotas in this term, undefined where no client accounts are known
 */
export function createQuotaHolder (opts: ServiceTermOpts, onChange: () => void): QuotaHolder | undefined {
  const { account, hasQuotas, records, service, token, guard, store, clock, logger, metrics } = opts
  if (account === undefined) return undefined
  return new QuotaHolder({ service, token, guard, store, prefix: records.keys.quotasPrefix(), account, hasQuotas: hasQuotas ?? (() => false), clock, logger, metrics, onChange })
}
