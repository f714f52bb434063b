import { readFile } from 'node:fs/promises'
import { exitCodes, print, printError, type Command, type ExitCode, type Flags } from '../command.ts'
import { printOperatorError, OperatorClient, type OperatorError } from '../operator-client.ts'
import type { Result } from '@wisteriaslip/core.result'

interface JobState { readonly id: string, readonly state: string }
interface JobEntryStatus {
  readonly id: string
  readonly storeReached: boolean
  readonly configVersion?: number
  readonly accounts?: ReadonlyArray<{ readonly name: string, readonly weight: number, readonly keys: number, readonly quota: { readonly cpu: number, readonly memMb: number, readonly accelerators: number } }>
  readonly services: ReadonlyArray<{ readonly name: string, readonly leader?: string, readonly load?: { readonly wantedCpu: number, readonly workers: readonly unknown[] } }>
}

/** `wisteriaslip jobs`: submits, cancels and inspects jobs. */
export const jobsCommand: Command = {
  name: 'jobs',
  help: `Usage: wisteriaslip jobs ACTION [options]

  submit -f FILE           submit the job in FILE, in JSON; submitting a job
                           again with the same id does not create another
  show QUEUE ID            show the state of a job
  cancel QUEUE ID          cancel a job
  pending QUEUE            count the accepted jobs that have not started
  configure -f FILE        replace the configuration of queues and services by
                           a newer version
  status                   show services with their leaders and load, and the
                           client accounts
  explain KIND NAME        explain the state of a job, worker, pool or wave

  --entry URL of an entry's job API, --key-file FILE, --json`,
  async run (input, flags) {
    const [action, ...rest] = input
    const client = await OperatorClient.from(flags)
    switch (action) {
      case 'submit': return await postFile(client, '/v1/jobs', flags)
      case 'configure': return await postFile(client, '/v1/job-config', flags)
      case 'show': return printResult(await client.get<JobState>(jobPath(rest)), flags, job => `${job.id} ${job.state}`)
      case 'cancel': return printResult(await client.delete<JobState>(jobPath(rest)), flags, job => `${job.id} ${job.state}`)
      case 'pending': return printResult(await client.get<{ pending: number }>(`/v1/queues/${encodeURIComponent(rest[0] ?? '')}`), flags, queue => String(queue.pending))
      case 'status': return printResult(await client.get<JobEntryStatus>('/v1/job-status'), flags, formatStatus)
      case 'explain': return printResult(await client.get<unknown>(`/v1/explain?${new URLSearchParams({ kind: rest[0] ?? '', name: rest[1] ?? '' }).toString()}`), flags, explanation => JSON.stringify(explanation, undefined, 2))
      default:
        printError({ code: 'UNKNOWN_ACTION', message: `unknown action: ${action ?? 'none given'}`, hint: 'See wisteriaslip jobs --help.' })
        return exitCodes.usage
    }
  }
}

async function postFile (client: OperatorClient, path: string, flags: Flags): Promise<ExitCode> {
  const [file] = Array.isArray(flags.file) ? flags.file : []
  if (file === undefined) {
    printError({ code: 'FILE_MISSING', message: 'no file given', hint: 'Pass -f FILE.' })
    return exitCodes.usage
  }
  let body: unknown
  try {
    body = JSON.parse(await readFile(file, 'utf8'))
  } catch (error) {
    printError({ code: 'FILE_UNREADABLE', message: `${file}: ${(error as Error).message}`, hint: 'The file must exist and contain valid JSON.' })
    return exitCodes.usage
  }
  return printResult(await client.post<Record<string, unknown>>(path, body), flags, response => Object.entries(response).map(([name, value]) => `${name} ${String(value)}`).join(', '))
}

function printResult<T> (response: Result<T, OperatorError>, flags: Flags, format: (value: T) => string): ExitCode {
  if (!response.ok) return printOperatorError(response.error)
  print(flags.json === true ? JSON.stringify(response.value) : format(response.value))
  return exitCodes.ok
}

function jobPath (names: readonly string[]): string {
  return `/v1/jobs/${encodeURIComponent(names[0] ?? '')}/${encodeURIComponent(names[1] ?? '')}`
}

function formatStatus (status: JobEntryStatus): string {
  const lines = [`entry ${status.id}, configuration ${status.configVersion ?? 'none'}, store ${status.storeReached ? 'reached' : 'not reached'}`]
  for (const { name, leader, load } of status.services) {
    const workers = load === undefined ? 'cannot be asked' : `${load.workers.length} workers, ${load.wantedCpu / 1_000} cores wanted`
    lines.push(`service ${name} led by ${leader ?? 'nobody'}: ${workers}`)
  }
  for (const { name, weight, keys, quota } of status.accounts ?? []) {
    const limits = [limitText(quota.cpu / 1_000, 'cores'), limitText(quota.memMb, 'MB'), limitText(quota.accelerators, 'accelerators')].filter(text => text !== '')
    lines.push(`account ${name}: weight ${weight}, keys ${keys}, ${limits.length === 0 ? 'no quota' : `at most ${limits.join(', ')}`}`)
  }
  return lines.join('\n')
}

/** 0 is no limit. */
function limitText (amount: number, unit: string): string {
  return amount === 0 ? '' : `${amount} ${unit}`
}
