import type { JobConfig } from './job.ts'
import type { WaveSpec } from './fleet.ts'
import type { WorkerRegistration } from './worker.ts'

/** Store keys that operators and workers write, and their codecs. Decoders return undefined for invalid values. */
export interface StoreLayout {
  readonly configKey: string
  /** Prefix of all keys that operators write. */
  readonly operatorPrefix: string
  readonly workerPrefix: string
  decodeConfig (text: string): JobConfig | undefined
  /** @returns the text of the configuration without keys of accounts, for messages between entries; undefined method: it holds none */
  withoutKeys?: (text: string) => string
  /** @returns the number of the wave whose document has this key, undefined for other keys */
  waveNumber (key: string): number | undefined
  /** @returns the key of a wave's document */
  waveKey (wave: number): string
  decodeWave (key: string, text: string): WaveSpec | undefined
  decodeWorker (key: string, text: string): WorkerRegistration | undefined
  /** @returns the key of a wave's status */
  waveStatusKey (wave: number): string
  encodeWaveStatus (done: boolean): string
}
