import { SingleConnection } from '@wisteriaslip/core.connection'
import { err, ok, untilAborted, type Result } from '@wisteriaslip/core.result'
import type { StartCommand, WorkerChannel, WorkerClient, WorkerError, WorkerReport, WorkerEndpoint } from '@wisteriaslip/jobs.model'
import { request } from 'undici'
import { clockSchema, refusalSchema, reportSchema, workerPaths } from './wire-format.ts'

const CONNECT_TIMEOUT_MS = 2_000
const IDLE_CONNECTION_TIMEOUT_MS = 60_000

/** Client of workers that implement the product's own interface, JSON over HTTP. */
export class HttpWorkerClient implements WorkerClient {
  private readonly channels = new Set<HttpWorkerChannel>()

  connect (endpoint: WorkerEndpoint): WorkerChannel {
    const channel = new HttpWorkerChannel(endpoint)
    this.channels.add(channel)
    channel.ended.addEventListener('abort', () => this.channels.delete(channel), { once: true })
    return channel
  }

  /** Closes all connections. */
  close (): void {
    for (const channel of this.channels) channel.close()
  }
}

class HttpWorkerChannel implements WorkerChannel {
  readonly endpoint: WorkerEndpoint
  private readonly connection: SingleConnection

  constructor (endpoint: WorkerEndpoint) {
    this.endpoint = endpoint
    this.connection = new SingleConnection(`http://${endpoint.host}:${endpoint.port}`, { connectTimeoutMs: CONNECT_TIMEOUT_MS, idleTimeoutMs: IDLE_CONNECTION_TIMEOUT_MS })
  }

  get ended (): AbortSignal {
    return this.connection.ended
  }

  async start (command: StartCommand, signal: AbortSignal): Promise<Result<number, WorkerError>> {
    return await this.sendCommand(workerPaths.start, command, signal)
  }

  async stop (command: { task: string, attempt: number }, signal: AbortSignal): Promise<Result<number, WorkerError>> {
    return await this.sendCommand(workerPaths.stop, command, signal)
  }

  async setSpeed (command: { task: string, attempt: number, percent: number }, signal: AbortSignal): Promise<Result<number, WorkerError>> {
    return await this.sendCommand(workerPaths.setSpeed, command, signal)
  }

  async poll (opts: { leaseUntilMs?: number | undefined, seenSeq: number, waitMs: number }, signal: AbortSignal): Promise<Result<WorkerReport, WorkerError>> {
    const response = await this.post(workerPaths.poll, opts, signal)
    if (!response.ok) return response
    const report = reportSchema.safeParse(response.value)
    return report.success ? ok({ ...report.data, born: report.data.born }) : err({ kind: 'unknown', message: 'invalid report' })
  }

  close (): void {
    this.connection.end()
  }

  private async sendCommand (path: string, command: object, signal: AbortSignal): Promise<Result<number, WorkerError>> {
    const response = await this.post(path, command, signal)
    if (!response.ok) return response
    const parsed = clockSchema.safeParse(response.value)
    return parsed.success ? ok(parsed.data.clockMs) : err({ kind: 'unknown', message: 'invalid response' })
  }

  private async post (path: string, body: object, signal: AbortSignal): Promise<Result<unknown, WorkerError>> {
    const { connection } = this
    const response = await connection.inTurn(signal, async () => await this.send(path, body, signal))
    return response ?? err({ kind: 'refused', reason: 'not-sent' })
  }

  private async send (path: string, body: object, signal: AbortSignal): Promise<Result<unknown, WorkerError>> {
    const { endpoint: { host, port, id, token }, connection } = this
    try {
      const res = await untilAborted(signal, request(`http://${host}:${port}${path}`, {
        method: 'POST',
        dispatcher: connection.dispatcher,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ ...body, worker: id, token })
      }))
      const responseBody = await untilAborted(signal, res.body.json())
      return res.statusCode === 200 ? ok(responseBody) : err(toError(res.statusCode, responseBody))
    } catch (error) {
      connection.end()
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
