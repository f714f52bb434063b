/** Values after which an earlier one hardly counts. */
const MEMORY_VALUES = 300

/** Moving average. */
export class Average {
  value = 0
  /** Number of values that it rests on. */
  count = 0

  /** @param value - the next value */
  add (value: number): void {
    this.count = Math.min(MEMORY_VALUES, this.count + 1)
    this.value += (value - this.value) / this.count
  }
}
