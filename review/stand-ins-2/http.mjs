import { createServer } from 'node:http'

/**
 * Starts a JSON server on a free port of a loopback address.
 * @param host - loopback address
 * @param handle - gets method, URL, parsed body, headers and an abort signal of the connection; returns status and body
 * @param port - port, 0 for a free one
 */
export async function serveJson (host, handle, port = 0) {
  const sockets = new Set()
  const server = createServer({ keepAliveTimeout: 60_000 }, (req, res) => {
    const chunks = []
    req.on('error', () => {})
    res.on('error', () => {})
    req.on('data', chunk => chunks.push(chunk))
    req.on('end', () => {
      const text = Buffer.concat(chunks).toString()
      const url = new URL(req.url, 'http://stand-in')
      Promise.resolve(handle({ method: req.method, url, headers: req.headers, body: text === '' ? {} : JSON.parse(text), socket: req.socket })).then(answer => {
        if (answer === undefined) return
        const body = answer.body === undefined ? '' : JSON.stringify(answer.body)
        res.writeHead(answer.status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
        res.end(body)
      }).catch(error => {
        console.error(error)
        res.destroy()
      })
    })
  })
  server.on('connection', socket => {
    sockets.add(socket)
    socket.setNoDelay(true)
    socket.once('close', () => sockets.delete(socket))
  })
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return {
    port: server.address().port,
    close () {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}

export const delay = ms => new Promise(resolve => { setTimeout(resolve, ms) })
