import type { Step } from '@wisteriaslip/jobs.model'

/**
 * Creates a step with one small task and no optional features.
 * @param overrides - fields that differ from the defaults
 * @returns the step
 */
export function plainStep (overrides: Partial<Step> = {}): Step {
  return {
    tasks: 1,
    demand: { cpu: 1_000, memMb: 100, accelerators: 0 },
    estimateMs: 1_000,
    after: [],
    checkpoints: false,
    gang: false,
    oneRack: false,
    label: '',
    dataRack: '',
    perWorker: 0,
    copies: false,
    lasting: false,
    image: '',
    latencyTargetMs: 0,
    backfill: false,
    mayMiss: 0,
    ...overrides
  }
}
