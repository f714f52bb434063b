/** Draws the outcomes that a scenario leaves open. */
export interface Draw {
  /** @returns a whole number from 0 to `below` - 1 */
  (below: number): number
}
