import type { Labels, Selector } from './schema.ts'

/**
 * Matches labels against a selector. An empty selector matches nothing.
 * @param selector - labels that must be present; a list allows any one of its values
 * @param labels - labels of the VM or pool
 * @returns whether all labels of the selector match
 */
export function matchesSelector (selector: Selector, labels: Labels): boolean {
  const required = Object.entries(selector)
  if (required.length === 0) return false
  return required.every(([label, values]) => {
    const value = labels[label]
    if (value === undefined) return false
    return typeof values === 'string' ? values === value : values.includes(value)
  })
}
