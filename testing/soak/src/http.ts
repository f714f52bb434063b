import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'

const KEEP_ALIVE_MS = 60_000

/** A call with a JSON body. */
export interface JsonCall {
  readonly method: string
  readonly path: string
  readonly query: URLSearchParams
  readonly headers: IncomingMessage['headers']
  /** IP address of the caller. */
  readonly source: string | undefined
  readonly body: Record<string, unknown>
  /** Aborts when the connection closes. */
  readonly signal: AbortSignal
}

/** A response; `lost` closes the connection instead. */
export type JsonReply = { readonly status: number, readonly body?: unknown } | 'lost'

/**
 * Creates a server for calls with JSON bodies.
 * @param handle - answers a call
 * @returns a server that does not listen yet
 */
export function createJsonServer (handle: (call: JsonCall) => Promise<JsonReply> | JsonReply): Server {
  const server = createServer((req, res) => {
    answer(req, res, handle).catch(() => res.destroy())
  })
  server.keepAliveTimeout = KEEP_ALIVE_MS
  // A request that arrives late, together with the end of its connection, is executed nevertheless.
  Object.assign(server, { httpAllowHalfOpen: true })
  return server
}

async function answer (req: IncomingMessage, res: ServerResponse, handle: (call: JsonCall) => Promise<JsonReply> | JsonReply): Promise<void> {
  const closed = new AbortController()
  res.once('close', () => closed.abort())
  const chunks: Buffer[] = []
  for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk)
  const url = new URL(req.url ?? '/', 'http://localhost')
  const text = Buffer.concat(chunks).toString()
  const reply = await handle({
    method: req.method ?? 'GET',
    path: url.pathname,
    query: url.searchParams,
    headers: req.headers,
    source: req.socket.remoteAddress,
    body: text === '' ? {} : JSON.parse(text) as Record<string, unknown>,
    signal: closed.signal
  })
  if (reply === 'lost') {
    req.socket.resetAndDestroy()
    return
  }
  res.writeHead(reply.status, { 'content-type': 'application/json' })
  res.end(JSON.stringify(reply.body ?? {}))
}

/** Makes a server listen. */
export async function listen (server: Server, port: number, host: string): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
}

/** Closes a server and its connections. */
export function closeServer (server: Server): void {
  server.close()
  server.closeAllConnections()
}
