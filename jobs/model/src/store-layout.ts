import type { JobConfig } from './job.ts'
import type { Wave } from './fleet.ts'
import type { WorkerRegistration } from './worker.ts'

/** Store keys that operators and workers write, and their codecs. Decoders return undefined for invalid values. */
export interface StoreLayout {
  readonly configKey: string
  /** Prefix of all keys that operators write. */
  readonly operatorPrefix: string
  readonly wavePrefix: string
  readonly workerPrefix: string
  decodeConfig (text: string): JobConfig | undefined
  decodeWave (text: string): Wave | undefined
  decodeWorker (key: string, text: string): WorkerRegistration | undefined
  /** @returns the key of a wave's status */
  waveStatusKey (wave: number): string
  encodeWaveStatus (done: boolean): string
}
