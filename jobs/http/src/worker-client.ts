import { err, ok, untilAborted, type Result } from '@wisteriaslip/core.result'
import type { StartCommand, WorkerClient, WorkerError, WorkerReport, WorkerEndpoint } from '@wisteriaslip/jobs.model'
import { Agent, request } from 'undici'
import { clockSchema, refusalSchema, reportSchema, workerPaths } from './wire-format.ts'

const MAX_CONNECTIONS_PER_WORKER = 4

/** Client of workers that implement the product's own interface, JSON over HTTP. */
export class HttpWorkerClient implements WorkerClient {
  private readonly agent = new Agent({ connections: MAX_CONNECTIONS_PER_WORKER, pipelining: 1 })

  async start (endpoint: WorkerEndpoint, command: StartCommand, signal: AbortSignal): Promise<Result<number, WorkerError>> {
    return await this.sendCommand(endpoint, workerPaths.start, command, signal)
  }

  async stop (endpoint: WorkerEndpoint, command: { task: string, attempt: number }, signal: AbortSignal): Promise<Result<number, WorkerError>> {
    return await this.sendCommand(endpoint, workerPaths.stop, command, signal)
  }

  async setSpeed (endpoint: WorkerEndpoint, command: { task: string, attempt: number, percent: number }, signal: AbortSignal): Promise<Result<number, WorkerError>> {
    return await this.sendCommand(endpoint, workerPaths.setSpeed, command, signal)
  }

  async poll (endpoint: WorkerEndpoint, opts: { leaseUntilMs?: number | undefined, seenSeq: number, waitMs: number }, signal: AbortSignal): Promise<Result<WorkerReport, WorkerError>> {
    const response = await this.post(endpoint, workerPaths.poll, opts, signal)
    if (!response.ok) return response
    const report = reportSchema.safeParse(response.value)
    return report.success ? ok({ ...report.data, born: report.data.born }) : err({ kind: 'unknown', message: 'invalid report' })
  }

  /** Does nothing: the shared agent closes idle connections itself. */
  closeConnections (): void {}

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.agent.destroy()
  }

  private async sendCommand (endpoint: WorkerEndpoint, path: string, command: object, signal: AbortSignal): Promise<Result<number, WorkerError>> {
    const response = await this.post(endpoint, path, command, signal)
    if (!response.ok) return response
    const parsed = clockSchema.safeParse(response.value)
    return parsed.success ? ok(parsed.data.clockMs) : err({ kind: 'unknown', message: 'invalid response' })
  }

  private async post (endpoint: WorkerEndpoint, path: string, body: object, signal: AbortSignal): Promise<Result<unknown, WorkerError>> {
    try {
      const res = await untilAborted(signal, request(`http://${endpoint.host}:${endpoint.port}${path}`, {
        method: 'POST',
        dispatcher: this.agent,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ ...body, worker: endpoint.id, token: endpoint.token }),
        signal
      }))
      const responseBody = await res.body.json()
      return res.statusCode === 200 ? ok(responseBody) : err(toError(res.statusCode, responseBody))
    } catch (error) {
      return err({ kind: 'unknown', message: String(error) })
    }
  }
}

function toError (status: number, responseBody: unknown): WorkerError {
  const parsed = refusalSchema.safeParse(responseBody)
  if (!parsed.success) return { kind: 'unknown', message: `status ${status}` }
  if (parsed.data.kind === 'other-life') return { kind: 'other-life', message: 'another incarnation of the worker responded' }
  return { kind: 'refused', reason: parsed.data.reason ?? 'invalid' }
}
