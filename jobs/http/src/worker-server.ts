import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Result } from '@wisteriaslip/core.result'
import type { AddressedWorkerCalls, WorkerError } from '@wisteriaslip/jobs.model'
import { commandSchemas, readJson, sendJson, workerPaths } from './wire-format.ts'

/** Callers keep a connection for commands, which may be idle for long. */
const KEEP_ALIVE_MS = 90_000

/**
 * Creates the HTTP server of a worker, or of several workers that share an address.
 * @param worker - executes the commands; the endpoint names the worker that each is meant for
 * @returns the server, which does not listen yet
 */
export function createWorkerServer (worker: AddressedWorkerCalls): Server {
  const server = createServer((req, res) => {
    handleRequest(req, res, worker).catch(error => sendJson(res, 500, { code: 'INTERNAL', message: String(error), hint: 'See the worker\'s log.' }))
  })
  server.keepAliveTimeout = KEEP_ALIVE_MS
  return server
}

async function handleRequest (req: IncomingMessage, res: ServerResponse, worker: AddressedWorkerCalls): Promise<void> {
  const disconnected = new AbortController()
  res.once('close', () => disconnected.abort())
  const body = await readJson(req)
  const { signal } = disconnected
  if (req.url === workerPaths.start) {
    const parsed = commandSchemas.start.safeParse(body)
    if (parsed.success) return sendClock(res, await worker.start(toEndpoint(parsed.data), parsed.data, signal))
  } else if (req.url === workerPaths.stop) {
    const parsed = commandSchemas.stop.safeParse(body)
    if (parsed.success) return sendClock(res, await worker.stop(toEndpoint(parsed.data), parsed.data, signal))
  } else if (req.url === workerPaths.setSpeed) {
    const parsed = commandSchemas.setSpeed.safeParse(body)
    if (parsed.success) return sendClock(res, await worker.setSpeed(toEndpoint(parsed.data), parsed.data, signal))
  } else if (req.url === workerPaths.poll) {
    const parsed = commandSchemas.poll.safeParse(body)
    if (parsed.success) return sendResult(res, await worker.poll(toEndpoint(parsed.data), parsed.data, signal), report => report)
  }
  sendJson(res, 400, { kind: 'refused', reason: 'invalid' })
}

function toEndpoint (fields: { worker: string, token: number }) {
  return { id: fields.worker, host: '', port: 0, token: fields.token }
}

function sendClock (res: ServerResponse, result: Result<number, WorkerError>): void {
  sendResult(res, result, clockMs => ({ clockMs }))
}

function sendResult<T> (res: ServerResponse, result: Result<T, WorkerError>, body: (value: T) => unknown): void {
  if (result.ok) sendJson(res, 200, body(result.value))
  else if (result.error.kind === 'unknown') res.destroy()
  else sendJson(res, 409, result.error)
}
