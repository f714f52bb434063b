import { parseJson } from '@wisteriaslip/core.result'
import type { JobConfig, StoreLayout, WorkerRegistration } from '@wisteriaslip/jobs.model'
import { configSchema, workerEntrySchema } from './wire-format.ts'

const MAX_BODY_BYTES = 1_048_576

/**
 * @param prefix - of all keys of the product
 * @returns where the configuration of jobs and the workers' entries lie
 */
export function jobStoreLayout (prefix: string): StoreLayout {
  const operatorPrefix = `${prefix}-operators/`
  const workerPrefix = `${prefix}-workers/`
  return {
    configKey: `${operatorPrefix}job-config`,
    operatorPrefix,
    wavePrefix: `${operatorPrefix}waves/`,
    workerPrefix,
    decodeConfig,
    decodeWave: () => undefined,
    decodeWorker: (_key, text) => decodeWorker(text),
    waveStatusKey: wave => `${prefix}-status/waves/${wave}`,
    encodeWaveStatus: done => JSON.stringify({ state: done ? 'completed' : 'running' })
  }
}

function decodeConfig (text: string): JobConfig | undefined {
  const parsed = configSchema.safeParse(parseJson(text))
  if (!parsed.success) return undefined
  const { version, services, queues } = parsed.data
  return { version, services, maxBodyBytes: MAX_BODY_BYTES, queues: queues.map(queue => ({ ...queue, host: '', pathPrefix: '', needsPermit: false })) }
}

function decodeWorker (text: string): WorkerRegistration | undefined {
  const parsed = workerEntrySchema.safeParse(parseJson(text))
  return parsed.success ? parsed.data : undefined
}
