/**
 * Moves of VMs between pools: on a forecast of need, with hysteresis, as few as will do.
 * @module
 */
export { MovePlanner, type MovablePool, type Move, type MovePlannerOpts } from './move-planner.ts'
export { requiredBufferSize, type PoolRequirement } from './spare-buffer.ts'
