/**
 * Maintenance waves: selects the VMs that may be disrupted now, and drives each disruption through its phases.
 * @module
 */
export { planWave, type WaveCandidate, type WavePlanOpts } from './plan-wave.ts'
export { nextAction, type DisruptionAction, type VmObservation } from './next-action.ts'
export { DisruptionController, type DisruptionControllerOpts } from './disruption-controller.ts'
