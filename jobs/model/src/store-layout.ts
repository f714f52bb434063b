import type { JobConfig } from './job.ts'
import type { Wave } from './fleet.ts'
import type { WorkerRegistration } from './worker.ts'

/** Where in the store operators and workers write, and how it is read. What cannot be read gives undefined. */
export interface StoreLayout {
  readonly configKey: string
  /** Start of all keys that operators write. */
  readonly operatorPrefix: string
  readonly wavePrefix: string
  readonly workerPrefix: string
  decodeConfig (text: string): JobConfig | undefined
  decodeWave (text: string): Wave | undefined
  decodeWorker (key: string, text: string): WorkerRegistration | undefined
  /** Key of a wave's status. */
  waveStatusKey (wave: number): string
  encodeWaveStatus (done: boolean): string
}
