import type { IncomingHttpHeaders } from 'node:http'

/** Headers by name, as they go over the wire. */
export type HeaderMap = Record<string, string | string[]>

const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])
const OWN_PREFIX = 'wisteriaslip-'

/** Names of the product's own headers. */
export const headerNames = {
  requestId: 'wisteriaslip-request-id',
  tenant: 'wisteriaslip-tenant',
  class: 'wisteriaslip-class',
  deadline: 'wisteriaslip-deadline-ms',
  outcome: 'wisteriaslip-outcome',
  /** A target sets it to `1` on a 503 to say that it did not start the request. */
  notRun: 'wisteriaslip-not-run'
} as const

/**
 * Headers for the target: the caller's, without those of the connection, of the product, and the tenant's key.
 * @param headers - from the caller
 * @param own - to be added
 * @returns headers
 */
export function targetHeaders (headers: IncomingHttpHeaders, own: Readonly<Record<string, string>>): HeaderMap {
  const out = passOn(headers)
  delete out.authorization
  delete out['content-length']
  return { ...out, ...own }
}

/**
 * Headers for the caller: the target's, without those of the connection and of the product.
 * @param headers - from the target
 * @param own - to be added
 * @returns headers
 */
export function callerHeaders (headers: Readonly<Record<string, string | string[] | undefined>>, own: Readonly<Record<string, string>>): HeaderMap {
  return { ...passOn(headers), ...own }
}

/**
 * @param headers - of a request
 * @param name - in lower case
 * @returns its one value, undefined when absent or given more than once
 */
export function single (headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name]
  return typeof value === 'string' ? value : undefined
}

function passOn (headers: Readonly<Record<string, string | string[] | undefined>>): HeaderMap {
  const named = new Set(String(headers.connection ?? '').toLowerCase().split(',').map(name => name.trim()))
  const out: HeaderMap = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name) || named.has(name) || name.startsWith(OWN_PREFIX)) continue
    out[name] = value
  }
  return out
}
