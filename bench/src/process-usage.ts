import { readFileSync } from 'node:fs'

const TICKS_PER_SECOND = 100
const PAGE_BYTES = 4_096

/**
 * @param pid - of a process started here
 * @returns processor time in seconds since its start, and resident memory in bytes
 */
export function usageOf (pid: number): { cpuSeconds: number, residentBytes: number } {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const ticks = Number(fields[11]) + Number(fields[12])
  return { cpuSeconds: ticks / TICKS_PER_SECOND, residentBytes: Number(fields[21]) * PAGE_BYTES }
}

/**
 * @param page - of `/metrics`
 * @param name - of a counter
 * @returns its value summed over all label values that match
 */
export function counterIn (page: string, name: string, labels: string = ''): number {
  return page.split('\n')
    .filter(line => line.startsWith(`${name}{`) || line.startsWith(`${name} `))
    .filter(line => line.includes(labels))
    .reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(' ') + 1)), 0)
}
