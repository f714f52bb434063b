/**
 * @param text - that should hold JSON
 * @returns what it holds, undefined when it cannot be read
 */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
