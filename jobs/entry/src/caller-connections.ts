import type { Server, ServerResponse } from 'node:http'

/** Turns of the event loop in which a connection that waits is accepted, and its request is read. */
const TURNS_TO_READ = 2

/** Callers' requests in progress, and how their connections end in a shutdown: after a complete response. */
export class CallerConnections {
  private readonly inProgress = new Set<ServerResponse>()
  private closing = false

  /**
   * Counts a request as in progress until its response is complete or its connection has ended. Call it before the
   * response is begun.
   * @param res - response to the request
   */
  track (res: ServerResponse): void {
    this.inProgress.add(res)
    res.once('close', () => this.inProgress.delete(res))
    if (this.closing) closeAfterResponse(res)
  }

  /** @returns number of requests in progress */
  count (): number {
    return this.inProgress.size
  }

  /** From now on each response closes its connection, also those to requests in progress. */
  closeAfterResponses (): void {
    this.closing = true
    for (const res of this.inProgress) closeAfterResponse(res)
  }

  /** Responds 504 to the requests in progress whose response has not begun: their outcome is unknown. */
  respondToRemaining (): void {
    for (const res of this.inProgress) {
      if (!res.headersSent) res.writeHead(504, { 'content-length': 0 }).end()
    }
  }
}

/**
 * Stops listening and closes idle connections. Requests that have already arrived are read before, also when the process
 * was too busy until now: a turn of the event loop handles timers first.
 * @param servers - servers for callers
 */
export async function stopListening (servers: readonly Server[]): Promise<void> {
  for (let turn = 0; turn < TURNS_TO_READ; turn++) await new Promise<void>(resolve => { setImmediate(resolve) })
  for (const server of servers) {
    server.close()
    server.closeIdleConnections()
  }
}

function closeAfterResponse (res: ServerResponse): void {
  if (!res.headersSent) res.setHeader('connection', 'close')
}
