/**
 * Moves of VMs between pools, based on forecast demand. Hysteresis keeps the number of moves small.
 * @module
 */
export { MovePlanner, type MovablePool, type Move, type MovePlannerOpts } from './move-planner.ts'
export { requiredBufferSize, type PoolRequirement } from './spare-buffer.ts'
