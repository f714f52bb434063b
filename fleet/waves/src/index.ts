/**
 * Maintenance waves: which VMs may be taken now, and the steps that each goes through.
 * @module
 */
export { planWave, type WaveCandidate, type WavePlanOpts } from './plan-wave.ts'
export { nextAction, type DisruptionAction, type VmObservation } from './next-action.ts'
export { DisruptionController, type DisruptionControllerOpts } from './disruption-controller.ts'
