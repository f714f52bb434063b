import { parseJson } from '@wisteriaslip/core.result'
import { jobStoreLayout } from '@wisteriaslip/jobs.http'
import type { JobConfig, StoreLayout, WaveSpec } from '@wisteriaslip/jobs.model'

/** Prefix of all keys of the product in a simulation. */
export const SITE_PREFIX = 'site'

const productLayout = jobStoreLayout(SITE_PREFIX)

/** Keys and formats of what operators and workers write: those of the product, with waves and queues that need permits. */
export const simulatedLayout: StoreLayout = {
  ...productLayout,
  decodeConfig,
  waveNumber: key => {
    const number = Number(key.slice(key.lastIndexOf('/') + 1))
    return simulatedLayout.waveKey(number) === key ? number : undefined
  },
  decodeWave: (_key, text) => parseJson(text) as WaveSpec | undefined
}

function decodeConfig (text: string): JobConfig | undefined {
  const { needsPermit = false, ...rest } = parseJson(text) as { needsPermit?: boolean }
  const cfg = productLayout.decodeConfig(JSON.stringify(rest))
  return cfg && { ...cfg, queues: cfg.queues.map(queue => ({ ...queue, needsPermit })) }
}
