import { readdirSync, readFileSync } from 'node:fs'

const BYTES_PER_KB = 1_024
const BYTES_PER_MB = 1_048_576

/** What a process uses. */
export interface Usage {
  /** Peak resident memory since its start, in MB. */
  readonly peakMb: number
  /** Open descriptors. */
  readonly fds: number
}

/**
 * @param pid - id of a process
 * @returns what it uses, undefined when it has ended
 */
export function readUsage (pid: number): Usage | undefined {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8')
    const peakKb = /^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]
    if (peakKb === undefined) return undefined
    return { peakMb: Math.round(Number(peakKb) * BYTES_PER_KB / BYTES_PER_MB), fds: readdirSync(`/proc/${pid}/fd`).length }
  } catch {
    return undefined
  }
}
