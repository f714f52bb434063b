/**
 * @param name - name of a client account
 * @returns whether it has no half of a character alone: JSON can carry one, keys and headers can't
 */
export function isWellFormed (name: string): boolean {
  return !/\p{Surrogate}/u.test(name)
}
