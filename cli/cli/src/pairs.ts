/**
 * Splits a command-line argument at the first separator.
 * @param text - the argument
 * @param separator - one character
 * @returns the parts before and after it, undefined unless both are there
 */
export function splitPair (text: string, separator: string): [before: string, after: string] | undefined {
  const at = text.indexOf(separator)
  return at <= 0 || at === text.length - 1 ? undefined : [text.slice(0, at), text.slice(at + 1)]
}
