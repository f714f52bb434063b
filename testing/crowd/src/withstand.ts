import assert from 'node:assert/strict'
import { request } from 'node:http'
import { delay } from '@wisteriaslip/core.result'
import { CrowdConnections, type Crowd } from './crowd-connections.ts'
import type { CrowdTarget } from './targets.ts'
import { readUsage } from './usage.ts'

const PRESS_MS = 20_000
/** Guards against a test that never ends. */
const ANSWERED_WITHIN_MS = 30_000
const CALL_TIMEOUT_MS = 5_000
const RETRY_MS = 250
const NEVER_ABORTED = new AbortController().signal

/** Limits in the settings, and bounds of what the process may use. They are fixed, as are the crowds. */
export const bounds = { memoryMb: 300, maxFds: 1_500, fewFds: 500 } as const

const TINY_CHUNK = '1\r\n \r\n'

/** Crowds; each gets the address that it presses. */
export const crowds = {
  /** One body in one-byte chunks, stopped just short of its end. */
  tinyChunks: (target: CrowdTarget): Crowd => ({ connections: 60, bytes: Buffer.from(head(target) + TINY_CHUNK.repeat(200_000)) }),
  /** One body in one large chunk, stopped just short of its end. */
  largeChunks: (target: CrowdTarget): Crowd => ({ connections: 1_000, bytes: Buffer.from(`${head(target)}${(256_000).toString(16)}\r\n${' '.repeat(255_999)}`) }),
  /** Requests sent ahead whose answers nobody reads. */
  sentAhead: (target: CrowdTarget): Crowd => ({ connections: 100, bytes: Buffer.from(`GET ${target.readPath} HTTP/1.1\r\nHost: ${target.hostHeader}\r\n\r\n`.repeat(8_000)) }),
  /** The same without the header that HTTP/1.1 requires. */
  sentAheadWithoutHost: (): Crowd => ({ connections: 400, bytes: Buffer.from('GET / HTTP/1.1\r\n\r\n'.repeat(20_000)) }),
  /** Headers that don't end. */
  endlessHeaders: (target: CrowdTarget): Crowd => ({ connections: 1_000, bytes: Buffer.from(`GET ${target.readPath} HTTP/1.1\r\nHost: ${target.hostHeader}\r\n${'a:b\r\n'.repeat(2_900)}`) }),
  /** Connections that send nothing. */
  idle: (): Crowd => ({ connections: 1_000, bytes: Buffer.alloc(0) })
} as const

/**
 * Presses a process with a crowd. Before, an ordinary request is answered; afterwards, with the crowd's connections open, too,
 * and the process lives within its bounds.
 * @param target - the process; it is not ended
 * @param crowd - what presses it
 * @param bound - bound of its peak resident memory in MB and of its open descriptors
 */
export async function withstand (target: CrowdTarget, crowd: Crowd, bound: { readonly memoryMb: number, readonly fds: number }): Promise<void> {
  assert.equal(await send(target, target.body()), target.status, 'an ordinary request is answered before')
  const before = readUsage(target.pid)
  let maxFds = 0
  const connections = new CrowdConnections(target, crowd)
  try {
    await connections.sent(PRESS_MS, () => { maxFds = Math.max(maxFds, readUsage(target.pid)?.fds ?? 0) })
    const answered = await isAnswered(target)
    const after = readUsage(target.pid)
    const seen = `before ${JSON.stringify(before)}, after ${JSON.stringify(after)}, at most ${maxFds} descriptors, answered ${answered}`
    if (process.env.WISTERIASLIP_CROWD_FIGURES !== undefined) process.stdout.write(`${seen}\n`)
    assert.ok(after !== undefined, `the process has ended: ${seen}`)
    assert.ok(after.peakMb <= bound.memoryMb, `memory: ${seen}`)
    assert.ok(Math.max(maxFds, after.fds) <= bound.fds, `descriptors: ${seen}`)
    assert.ok(answered, `an ordinary request is answered afterwards: ${seen}`)
  } finally {
    connections.close()
  }
}

/**
 * Sends a single request whose body comes in one-byte chunks, inside the limits.
 * @param target - the process
 * @param bytes - size of the body
 * @returns status of the response, undefined without one
 */
export async function singleTinyChunkBody (target: CrowdTarget, bytes: number): Promise<number | undefined> {
  return await send(target, target.body(bytes), { tinyChunks: true, timeoutMs: ANSWERED_WITHIN_MS })
}

/** An ordinary caller repeats a request that was refused or not answered. */
async function isAnswered (target: CrowdTarget): Promise<boolean> {
  const until = performance.now() + ANSWERED_WITHIN_MS
  while (performance.now() < until) {
    if (await send(target, target.body()) === target.status) return true
    await delay(RETRY_MS, NEVER_ABORTED)
  }
  return false
}

async function send (target: CrowdTarget, body: string, { tinyChunks = false, timeoutMs = CALL_TIMEOUT_MS } = {}): Promise<number | undefined> {
  return await new Promise(resolve => {
    const headers = { host: target.hostHeader, 'content-type': 'application/json', ...(tinyChunks ? { 'transfer-encoding': 'chunked' } : { 'content-length': Buffer.byteLength(body) }) }
    const req = request({ host: target.host, port: target.port, path: target.path(), method: 'POST', agent: false, headers, signal: AbortSignal.timeout(timeoutMs) })
    req.on('error', () => resolve(undefined))
    req.on('response', res => {
      res.on('error', () => {})
      res.resume()
      resolve(res.statusCode)
    })
    if (!tinyChunks) {
      req.end(body)
      return
    }
    req.cork()
    for (const char of body) req.write(char)
    req.uncork()
    req.end()
  })
}

function head ({ path, hostHeader }: CrowdTarget): string {
  return `POST ${path()} HTTP/1.1\r\nHost: ${hostHeader}\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n`
}
