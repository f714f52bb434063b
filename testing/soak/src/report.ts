import { readFile } from 'node:fs/promises'
import type { Violation } from './check.ts'
import type { Seen } from './check-waits.ts'
import { findGaps, lengthOf, type RunGap } from './run-gaps.ts'
import type { RunRecord } from './run-log.ts'
import type { SoakSite } from './site.ts'

const MAX_LOG_LINES_PER_VIOLATION = 60
const MAX_GAPS = 5

/**
 * @param site - a site that has been played
 * @param seen - what it has shown
 * @param violations - what it broke
 * @returns for each violation its runs and the log lines about them; the longest times between runs of tasks that last; what was disturbed when
 */
export async function describePlay (site: SoakSite, seen: Seen, violations: readonly Violation[]): Promise<string> {
  const logs = await Promise.all(site.entries.map(async ({ logFile }) => (await readFile(logFile, 'utf8')).split('\n')))
  const disturbed = site.log.faults.disturbances.map(({ name, from, to }) => `  ${formatSeconds(from)} to ${formatSeconds(to)} ${name}`)
  const gaps = findGaps(seen).filter(({ runsBefore }) => runsBefore > 0).sort((a, b) => lengthOf(b) - lengthOf(a))
  const longest = gaps.slice(0, MAX_GAPS).map(gap => `  ${formatSeconds(gap.from)} to ${formatSeconds(gap.to)} ${formatGap(gap)}`)
  return [...violations.map(each => describe(each, site, logs.flat())), 'longest gaps:', ...longest, 'disturbed:', ...disturbed].join('\n')
}

/** @returns how long a task that lasts had no run, and over how many terms, for reading */
export function formatGap (gap: RunGap): string {
  return `${formatSeconds(lengthOf(gap))} s without a run of ${gap.task} in ${gap.job.service}, ${gap.terms} new terms`
}

function describe ({ rule, task, runs, details }: Violation, site: SoakSite, logLines: readonly string[]): string {
  const names = [task, ...runs.map(({ worker }) => `"${worker}"`)]
  const lines = logLines.filter(line => names.some(name => line.includes(name)))
  const rows = runs.map(run => `  ${formatRun(run, site)}`)
  return [`${rule}: ${task} ${details}`, ...rows, ...lines.slice(0, MAX_LOG_LINES_PER_VIOLATION).map(line => `    ${formatLine(line, site.log.beganAt)}`)].join('\n')
}

function formatRun (run: RunRecord, site: SoakSite): string {
  const entry = site.entries[run.entry ?? -1]?.id ?? '?'
  const noted = run.notedAt === undefined ? 'not noted' : `noted ${formatSeconds(run.notedAt)} by entry-${run.notedBy?.entry ?? '?'} token ${run.notedBy?.token ?? '?'}${run.lapsedBeforeNoted === true ? ' after a lapse' : ''}`
  return `run ${run.attempt} on ${run.worker} from ${entry} token ${run.token}: ${formatSeconds(run.startedAt)} to ${formatSeconds(run.endedAt)} ${run.how ?? 'running'}, ${noted}`
}

function formatSeconds (ms: number | undefined): string {
  return ms === undefined ? '-' : (ms / 1_000).toFixed(3)
}

/** Shows the time of a log line as that of the run log, so that both can be compared. */
function formatLine (line: string, beganAt: number): string {
  try {
    const { time, entry, msg, pid: _pid, hostname: _host, name: _name, level: _level, ...fields } = JSON.parse(line) as { time: number, entry: string, msg: string } & Record<string, unknown>
    return `${((time - beganAt) / 1_000).toFixed(3)} ${entry} ${msg} ${JSON.stringify(fields)}`
  } catch {
    return line
  }
}
