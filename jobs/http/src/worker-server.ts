import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Result } from '@wisteriaslip/core.result'
import type { WorkerClient, WorkerError } from '@wisteriaslip/jobs.model'
import { orderSchemas, readJson, sendJson, workerPaths } from './wire-format.ts'

/**
 * HTTP server of a worker, or of several that share an address.
 * @param worker - carries orders out
 * @returns a server that does not listen yet
 */
export function createWorkerServer (worker: WorkerClient): Server {
  return createServer((req, res) => {
    answer(req, res, worker).catch(error => sendJson(res, 500, { code: 'INTERNAL', message: String(error), hint: 'See the worker\'s log.' }))
  })
}

async function answer (req: IncomingMessage, res: ServerResponse, worker: WorkerClient): Promise<void> {
  const gone = new AbortController()
  res.once('close', () => gone.abort())
  const body = await readJson(req)
  const { signal } = gone
  if (req.url === workerPaths.start) {
    const order = orderSchemas.start.safeParse(body)
    if (order.success) return sendClock(res, await worker.start(toTarget(order.data), order.data, signal))
  } else if (req.url === workerPaths.stop) {
    const order = orderSchemas.stop.safeParse(body)
    if (order.success) return sendClock(res, await worker.stop(toTarget(order.data), order.data, signal))
  } else if (req.url === workerPaths.pace) {
    const order = orderSchemas.pace.safeParse(body)
    if (order.success) return sendClock(res, await worker.setSpeed(toTarget(order.data), order.data, signal))
  } else if (req.url === workerPaths.look) {
    const order = orderSchemas.look.safeParse(body)
    if (order.success) return sendResult(res, await worker.poll(toTarget(order.data), order.data, signal), report => report)
  }
  sendJson(res, 400, { kind: 'refused', reason: 'invalid' })
}

function toTarget (order: { worker: string, token: number }) {
  return { id: order.worker, host: '', port: 0, token: order.token }
}

function sendClock (res: ServerResponse, result: Result<number, WorkerError>): void {
  sendResult(res, result, clockMs => ({ clockMs }))
}

function sendResult<T> (res: ServerResponse, result: Result<T, WorkerError>, body: (value: T) => unknown): void {
  if (result.ok) sendJson(res, 200, body(result.value))
  else if (result.error.kind === 'unknown') res.destroy()
  else sendJson(res, 409, result.error)
}
