import { resolve } from 'node:path'

/** Tells from the events of a test run which test files have not run as a whole, whatever the results of their tests. */
export class FileResults {
  results = new Map()

  /** @param files - paths of the test files */
  constructor (files) {
    for (const file of files) this.results.set(resolve(file), { file, begun: 0, ended: 0, failed: false })
  }

  /**
   * @param event - an event about a test, suite or test file
   * @returns whether it is about a test file
   */
  isFile (event) {
    const file = this.results.get(event.file)?.file
    return file !== undefined && (event.name === file || event.name === event.file)
  }

  /** @param event - a test, suite or test file is about to run */
  noteBegun (event) {
    const result = this.results.get(event.file)
    if (result !== undefined && !this.isFile(event)) result.begun += 1
  }

  /**
   * @param event - a test, suite or test file has ended
   * @param passed - whether it passed
   */
  noteEnded (event, passed) {
    const result = this.results.get(event.file)
    if (result === undefined) return
    if (!this.isFile(event)) result.ended += 1
    else if (!passed) result.failed = true
  }

  /** @returns the test files that have not run as a whole, with the reason */
  failures () {
    return [...this.results.values()].flatMap(({ file, begun, ended, failed }) => {
      if (ended === 0) return [{ file, reason: 'reports no test' }]
      if (ended < begun) return [{ file, reason: `ends before ${begun - ended} of its tests` }]
      return failed ? [{ file, reason: 'fails outside its tests' }] : []
    })
  }
}
