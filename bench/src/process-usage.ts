import { readFileSync } from 'node:fs'

const CLOCK_TICKS_PER_SECOND = 100
const PAGE_BYTES = 4_096

/**
 * Reads the resource usage of a process from `/proc`.
 * @param pid - process ID of a child process of the bench
 * @returns CPU time in seconds since the process started, and resident memory in bytes
 */
export function readProcessUsage (pid: number): { cpuSeconds: number, residentBytes: number } {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const ticks = Number(fields[11]) + Number(fields[12])
  return { cpuSeconds: ticks / CLOCK_TICKS_PER_SECOND, residentBytes: Number(fields[21]) * PAGE_BYTES }
}

/**
 * Sums a counter over its series.
 * @param metricsText - response body of `/metrics`
 * @param name - name of the counter
 * @param labels - text that a series must contain, such as `kind="read"`; by default all series count
 * @returns sum over the matching series
 */
export function sumCounter (metricsText: string, name: string, labels: string = ''): number {
  return metricsText.split('\n')
    .filter(line => line.startsWith(`${name}{`) || line.startsWith(`${name} `))
    .filter(line => line.includes(labels))
    .reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(' ') + 1)), 0)
}
