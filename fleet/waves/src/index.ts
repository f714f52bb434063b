/**
 * Maintenance waves: which VMs may be taken now, and the steps that each goes through.
 * @module
 */
export { planWave, type WaveCandidate, type WavePlanOpts } from './plan.ts'
export { nextAction, type Action, type Observation } from './next-action.ts'
export { PoolKeeper, type PoolKeeperOpts } from './pool-keeper.ts'
