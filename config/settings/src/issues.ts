import type { ZodIssue } from 'zod'

const MAX_VALUE_CHARS = 80

/**
 * Formats schema issues as lines that name the path, the constraint and the invalid value; for an unknown key, the key and
 * what to do about it.
 * @param issues - issues reported by the schema
 * @param input - the validated input, from which the invalid values are taken
 * @returns one line per issue
 */
export function formatIssues (issues: readonly ZodIssue[], input: unknown): string[] {
  return issues.map(issue => {
    const path = issue.path.length === 0 ? '(top level)' : issue.path.join('.')
    if (issue.code === 'unrecognized_keys') return `${path}: unknown key ${issue.keys.join(', ')}; remove it or correct its spelling`
    return `${path}: ${issue.message} (got ${formatValue(valueAt(input, issue.path))})`
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

function formatValue (value: unknown): string {
  if (value === undefined) return 'nothing'
  return JSON.stringify(value).slice(0, MAX_VALUE_CHARS)
}
