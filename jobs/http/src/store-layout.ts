import { parseJson } from '@wisteriaslip/core.result'
import type { JobConfig, StoreLayout, WorkerRegistration } from '@wisteriaslip/jobs.model'
import { configSchema, workerRegistrationSchema } from './wire-format.ts'

const MAX_BODY_BYTES = 1_048_576

/**
 * @param prefix - prefix of all keys of the product
 * @returns keys and formats of the job configuration and the worker registrations
 */
export function jobStoreLayout (prefix: string): StoreLayout {
  const operatorPrefix = `${prefix}-operators/`
  const workerPrefix = `${prefix}-workers/`
  return {
    configKey: `${operatorPrefix}job-config`,
    operatorPrefix,
    workerPrefix,
    decodeConfig,
    waveNumber: () => undefined,
    waveKey: wave => `${operatorPrefix}waves/${wave}`,
    decodeWave: () => undefined,
    decodeWorker: (_key, text) => decodeWorker(text),
    waveStatusKey: wave => `${prefix}-status/waves/${wave}`,
    encodeWaveStatus: done => JSON.stringify({ state: done ? 'completed' : 'running' })
  }
}

function decodeConfig (text: string): JobConfig | undefined {
  const parsed = configSchema.safeParse(parseJson(text))
  if (!parsed.success) return undefined
  const { version, services, queues, accounts } = parsed.data
  return {
    version,
    services,
    maxBodyBytes: MAX_BODY_BYTES,
    queues: queues.map(queue => ({ ...queue, host: '', pathPrefix: '', needsPermit: false })),
    ...(accounts === undefined ? {} : { accounts: accounts.map(({ name, keySha256, weight, quota }) => ({ name, keyDigests: keySha256, weight, quota })) })
  }
}

function decodeWorker (text: string): WorkerRegistration | undefined {
  const parsed = workerRegistrationSchema.safeParse(parseJson(text))
  return parsed.success ? parsed.data : undefined
}
