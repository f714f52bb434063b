/**
 * Quotas of client accounts across the leaders of all services.
 * @module
 */
export { QuotaHolder, type QuotaHolderOpts } from './holder.ts'
