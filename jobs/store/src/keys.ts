/** Names of the keys that hold jobs. They lie outside of what every entry mirrors. */
export class JobKeys {
  private readonly prefix: string

  /** @param prefix - of all keys of the product */
  constructor (prefix: string) {
    this.prefix = prefix
  }

  /**
   * @param service - a service
   * @returns start of the keys of what callers handed in: jobs and cancellations
   */
  requestsPrefix (service: string): string {
    return `${this.prefix}-requests/${service}/`
  }

  /** @returns key of a job as it was accepted */
  job (service: string, id: string): string {
    return `${this.requestsPrefix(service)}jobs/${id}`
  }

  /** @returns key of a job's cancellation */
  cancellation (service: string, id: string): string {
    return `${this.requestsPrefix(service)}cancellations/${id}`
  }

  /**
   * @param service - a service
   * @returns start of the keys of what has happened to its jobs
   */
  progressPrefix (service: string): string {
    return `${this.prefix}-progress/${service}/`
  }

  /** @returns key of what has happened to a job */
  progress (service: string, id: string): string {
    return this.progressPrefix(service) + id
  }

  /** @returns key of a service's term record */
  term (service: string): string {
    return `${this.prefix}-terms/${service}`
  }

  /** @returns key of the fleet leader's record */
  fleet (): string {
    return `${this.prefix}-fleet`
  }
}

/**
 * @param key - of a job or a cancellation
 * @returns the job's id
 */
export function jobIdFromKey (key: string): string {
  return key.slice(key.lastIndexOf('/') + 1)
}
