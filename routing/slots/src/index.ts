/**
 * Allocation of the slots of shared targets. A pool's leader allots slots to entries, which then use them without
 * a message per request.
 * @module
 */
export type { Demand, Loan, PoolGrant, PoolReport, SlotReply, SlotReport } from './messages.ts'
export { SlotAllocator, type SlotAllocatorOpts, type TargetCapacity } from './allocator.ts'
export { SlotHolder, type Slot, type SlotHolderOpts, type TargetView } from './holder.ts'
export { planSlots, type ClassShare, type EntryDemand, type PlannedSlots } from './demand-plan.ts'
export { maxMinFairShares, type ShareRequest } from './max-min-fairness.ts'
export { ALLOTMENT_TTL_MS, FOLLOWER_TIMEOUT_MS, LEADER_CONTACT_TIMEOUT_MS, RENEW_INTERVAL_MS } from './timeouts.ts'
export { ReportSchedule, type ReportTriggers } from './report-schedule.ts'
export { ReportBudget } from './report-budget.ts'
