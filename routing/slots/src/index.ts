/**
 * Slots of shared targets. A pool's leader allots them to entries, which use them without a message per request.
 * @module
 */
export type { Demand, Loan, PoolGrant, PoolReport, SlotReply, SlotReport } from './messages.ts'
export { SlotAllocator, type AllocatorOpts, type TargetCapacity } from './allocator.ts'
export { SlotHolder, type Slot, type SlotHolderOpts, type TargetView } from './holder.ts'
export { planSlots, type ClassShare, type EntryDemand, type PlannedSlots } from './demand-plan.ts'
export { shareOut, type ShareRequest } from './share-out.ts'
export { FOLLOWING_MS, HEARING_MS, HOLD_MS, RENEW_MS } from './limits.ts'
export { ReportSchedule, type ReportReasons } from './report-schedule.ts'
export { ReportBudget } from './report-budget.ts'
