import type { ZodIssue } from 'zod'

const SHOWN_VALUE_CHARS = 80

/**
 * Turns schema issues into lines that name the path, the value and what to do.
 * @param issues - from the schema
 * @param input - the checked document, from which the offending values are shown
 * @returns one line for each issue
 */
export function formatIssues (issues: readonly ZodIssue[], input: unknown): string[] {
  return issues.map(issue => {
    const path = issue.path.length === 0 ? '(top level)' : issue.path.join('.')
    if (issue.code === 'unrecognized_keys') return `${path}: unknown key ${issue.keys.join(', ')}; remove it or correct its spelling`
    return `${path}: ${issue.message} (got ${showValue(valueAt(input, issue.path))})`
  })
}

function valueAt (input: unknown, path: ReadonlyArray<string | number>): unknown {
  let value = input
  for (const step of path) {
    if (typeof value !== 'object' || value === null) return undefined
    value = (value as Record<string | number, unknown>)[step]
  }
  return value
}

function showValue (value: unknown): string {
  if (value === undefined) return 'nothing'
  return JSON.stringify(value).slice(0, SHOWN_VALUE_CHARS)
}
