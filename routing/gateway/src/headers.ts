import type { IncomingHttpHeaders } from 'node:http'

/** HTTP headers by lower-case name. */
export type HeaderMap = Record<string, string | string[]>

const HOP_BY_HOP_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])
const PRODUCT_HEADER_PREFIX = 'wisteriaslip-'

/** Names of the product's own headers. */
export const gatewayHeaderNames = {
  requestId: 'wisteriaslip-request-id',
  tenant: 'wisteriaslip-tenant',
  class: 'wisteriaslip-class',
  deadline: 'wisteriaslip-deadline-ms',
  outcome: 'wisteriaslip-outcome',
  /** Set to `1` by a target on a 503 response to indicate that it has not started the request. */
  notRun: 'wisteriaslip-not-run'
} as const

/**
 * Builds the headers of a request to a target: the caller's, without hop-by-hop headers, headers of the product, the
 * content length and the key of the client account.
 * @param headers - headers of the caller's request
 * @param extraHeaders - headers to add
 * @returns headers for the target
 */
export function targetHeaders (headers: IncomingHttpHeaders, extraHeaders: Readonly<Record<string, string>>): HeaderMap {
  const out = forwardableHeaders(headers)
  delete out.authorization
  delete out['content-length']
  return { ...out, ...extraHeaders }
}

/**
 * Builds the headers of a response to the caller: the target's, without hop-by-hop headers and headers of the product.
 * @param headers - headers of the target's response
 * @param extraHeaders - headers to add
 * @returns headers for the caller
 */
export function callerHeaders (headers: Readonly<Record<string, string | string[] | undefined>>, extraHeaders: Readonly<Record<string, string>>): HeaderMap {
  return { ...forwardableHeaders(headers), ...extraHeaders }
}

/**
 * @param headers - headers of a request
 * @param name - header name in lower case
 * @returns the value of the header; undefined if it is absent or has an array of values
 */
export function singleHeader (headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name]
  return typeof value === 'string' ? value : undefined
}

function forwardableHeaders (headers: Readonly<Record<string, string | string[] | undefined>>): HeaderMap {
  const connectionHeaders = new Set(String(headers.connection ?? '').toLowerCase().split(',').map(name => name.trim()))
  const out: HeaderMap = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP_HEADERS.has(name) || connectionHeaders.has(name) || name.startsWith(PRODUCT_HEADER_PREFIX)) continue
    out[name] = value
  }
  return out
}
