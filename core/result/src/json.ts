/**
 * Parses JSON without throwing.
 * @param text - text to parse
 * @returns the parsed value, or undefined when the text is not valid JSON
 */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
