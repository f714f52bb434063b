import { createServer } from 'node:net'
import { parentPort, workerData } from 'node:worker_threads'

const gate = new Int32Array(workerData.gate)
const server = createServer(socket => {
  parentPort.postMessage({ kind: 'accepted' })
  socket.on('error', () => {})
  socket.on('close', () => parentPort.postMessage({ kind: 'closed' }))
  socket.on('data', () => {
    parentPort.postMessage({ kind: 'requests' })
    socket.end(workerData.response)
  })
})
server.listen({ host: '127.0.0.1', port: 0, backlog: 1 }, () => {
  parentPort.postMessage({ kind: 'listening', port: server.address().port })
  Atomics.wait(gate, 0, 0)
})
