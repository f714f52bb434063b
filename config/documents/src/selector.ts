import type { Labels, Selector } from './schema.ts'

/**
 * @param selector - labels that must be present; a list means any one of its values
 * @param labels - labels of the candidate
 * @returns whether all are present; an empty selector matches nothing
 */
export function matches (selector: Selector, labels: Labels): boolean {
  const wanted = Object.entries(selector)
  if (wanted.length === 0) return false
  return wanted.every(([label, values]) => {
    const value = labels[label]
    if (value === undefined) return false
    return typeof values === 'string' ? values === value : values.includes(value)
  })
}
