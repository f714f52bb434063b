import { createServer, request, Agent } from 'node:http'
import { createServer as createTcpServer } from 'node:net'

/** Returns a free TCP port on the address. */
export async function freePort (host = '127.0.0.1') {
  const server = createTcpServer()
  await new Promise((resolve, reject) => { server.once('error', reject); server.listen(0, host, resolve) })
  const { port } = server.address()
  await new Promise(resolve => server.close(resolve))
  return port
}

/**
 * Starts an HTTP server with JSON bodies. `handle` gets the parsed call and returns `{ status, body, headers }`, or
 * undefined to leave the call without an answer for good.
 */
export async function startJsonServer (handle, { host = '127.0.0.1', port = 0 } = {}) {
  const server = createServer(async (req, res) => {
    try {
      const chunks = []
      for await (const chunk of req) chunks.push(chunk)
      const text = Buffer.concat(chunks).toString()
      const url = new URL(req.url, 'http://localhost')
      const call = { method: req.method, path: url.pathname, query: url.searchParams, headers: req.headers, body: text === '' ? undefined : JSON.parse(text), socket: req.socket, closed: false }
      res.on('close', () => { call.closed = true; call.onClose?.() })
      const answer = await handle(call)
      if (answer === undefined || res.destroyed) return
      const body = answer.body === undefined ? '' : JSON.stringify(answer.body)
      res.writeHead(answer.status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), ...answer.headers })
      res.end(body)
    } catch {
      req.socket.destroy()
    }
  })
  server.keepAliveTimeout = 60_000
  await new Promise((resolve, reject) => { server.once('error', reject); server.listen(port, host, resolve) })
  return {
    address: `${host}:${server.address().port}`,
    reset: () => server.closeAllConnections(),
    close: () => { server.close(); server.closeAllConnections() }
  }
}

const agent = new Agent({ keepAlive: false })

/** Makes one HTTP call; returns `{ status, body }`, or undefined without a complete answer in time. */
export async function call (method, address, path, { host, body, timeoutMs = 3_000 } = {}) {
  const [hostname, port] = address.split(':')
  return await new Promise(resolve => {
    const text = body === undefined ? undefined : JSON.stringify(body)
    const headers = { ...(host === undefined ? {} : { host }), 'wisteriaslip-deadline-ms': String(timeoutMs), ...(text === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }) }
    const req = request({ hostname, port, path, method, headers, agent }, res => {
      const chunks = []
      res.on('data', chunk => chunks.push(chunk))
      res.on('end', () => {
        clearTimeout(timer)
        let parsed
        try { parsed = JSON.parse(Buffer.concat(chunks).toString()) } catch { parsed = undefined }
        resolve({ status: res.statusCode, body: parsed })
      })
      res.on('error', () => resolve(undefined))
    })
    const timer = setTimeout(() => { req.destroy(); resolve(undefined) }, timeoutMs)
    req.on('error', () => { clearTimeout(timer); resolve(undefined) })
    req.end(text)
  })
}
