import { readFile } from 'node:fs/promises'
import type { Violation } from './check.ts'
import type { RunRecord } from './run-log.ts'
import type { SoakSite } from './site.ts'

const MAX_LOG_LINES_PER_VIOLATION = 60

/**
 * @param site - a site that has been played
 * @param violations - what it broke
 * @returns for each violation its runs and the log lines about them, and what was disturbed when
 */
export async function describePlay (site: SoakSite, violations: readonly Violation[]): Promise<string> {
  const logs = await Promise.all(site.entries.map(async ({ logFile }) => (await readFile(logFile, 'utf8')).split('\n')))
  const disturbed = site.log.faults.disturbances.map(({ name, from, to }) => `  ${formatSeconds(from)} to ${formatSeconds(to)} ${name}`)
  return [...violations.map(each => describe(each, site, logs.flat())), 'disturbed:', ...disturbed].join('\n')
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
