import { err, ok, type Result } from '@wisteriaslip/core.result'
import type { StartCommand, WorkerClient, WorkerError, WorkerReport, WorkerEndpoint } from '@wisteriaslip/jobs.model'
import { Agent, request } from 'undici'
import { clockSchema, refusalSchema, reportSchema, workerPaths } from './wire-format.ts'

const MAX_CONNECTIONS_PER_WORKER = 4

/** Calls workers over HTTP and JSON. */
export class HttpWorkerClient implements WorkerClient {
  private readonly agent = new Agent({ connections: MAX_CONNECTIONS_PER_WORKER, pipelining: 1 })

  async start (target: WorkerEndpoint, order: StartCommand, signal: AbortSignal): Promise<Result<number, WorkerError>> {
    return await this.order(target, workerPaths.start, order, signal)
  }

  async stop (target: WorkerEndpoint, order: { task: string, attempt: number }, signal: AbortSignal): Promise<Result<number, WorkerError>> {
    return await this.order(target, workerPaths.stop, order, signal)
  }

  async setSpeed (target: WorkerEndpoint, order: { task: string, attempt: number, percent: number }, signal: AbortSignal): Promise<Result<number, WorkerError>> {
    return await this.order(target, workerPaths.setSpeed, order, signal)
  }

  async poll (target: WorkerEndpoint, opts: { leaseUntilMs?: number | undefined, seenSeq: number, waitMs: number }, signal: AbortSignal): Promise<Result<WorkerReport, WorkerError>> {
    const answer = await this.post(target, workerPaths.poll, opts, signal)
    if (!answer.ok) return answer
    const report = reportSchema.safeParse(answer.value)
    return report.success ? ok({ ...report.data, born: report.data.born }) : err({ kind: 'unknown', message: 'invalid report' })
  }

  /** Does nothing: the shared agent closes idle connections itself. */
  closeConnections (): void {}

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.agent.destroy()
  }

  private async order (target: WorkerEndpoint, path: string, order: object, signal: AbortSignal): Promise<Result<number, WorkerError>> {
    const answer = await this.post(target, path, order, signal)
    if (!answer.ok) return answer
    const parsed = clockSchema.safeParse(answer.value)
    return parsed.success ? ok(parsed.data.clockMs) : err({ kind: 'unknown', message: 'invalid response' })
  }

  private async post (target: WorkerEndpoint, path: string, body: object, signal: AbortSignal): Promise<Result<unknown, WorkerError>> {
    try {
      const res = await request(`http://${target.host}:${target.port}${path}`, {
        method: 'POST',
        dispatcher: this.agent,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ ...body, worker: target.id, token: target.token }),
        signal
      })
      const answer = await res.body.json()
      return res.statusCode === 200 ? ok(answer) : err(toError(res.statusCode, answer))
    } catch (error) {
      return err({ kind: 'unknown', message: String(error) })
    }
  }
}

function toError (status: number, answer: unknown): WorkerError {
  const parsed = refusalSchema.safeParse(answer)
  if (!parsed.success) return { kind: 'unknown', message: `status ${status}` }
  if (parsed.data.kind === 'other-life') return { kind: 'other-life', message: 'another incarnation of the worker responded' }
  return { kind: 'refused', reason: parsed.data.reason ?? 'invalid' }
}
