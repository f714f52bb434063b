/** Key-value pair in the JSON of the gateway: keys and values are base64, revisions are decimal strings. */
export interface KeyValueJson {
  readonly key: string
  readonly value?: string
  readonly create_revision?: string
  readonly mod_revision?: string
}

/** Watch event in the JSON of the gateway. The type is omitted for a put. */
export interface EventJson {
  readonly type?: 'PUT' | 'DELETE'
  readonly kv: KeyValueJson
}

/**
 * @param text - text to encode
 * @returns its UTF-8 bytes in base64
 */
export function toBase64 (text: string): string {
  return Buffer.from(text).toString('base64')
}

/**
 * @param base64 - UTF-8 bytes in base64
 * @returns the decoded text
 */
export function fromBase64 (base64: string): string {
  return Buffer.from(base64, 'base64').toString()
}

/**
 * Computes the exclusive end of the range of all keys that start with a prefix.
 * @param prefix - non-empty ASCII prefix
 * @returns the end of the range in base64
 */
export function prefixRangeEnd (prefix: string): string {
  const bytes = Buffer.from(prefix)
  const last = bytes.length - 1
  bytes[last] = (bytes[last] ?? 0) + 1
  return bytes.toString('base64')
}
