import { createHash } from 'node:crypto'

/** Characters of a digest that stands for an address in keys, whose length is limited. */
const ADDRESS_DIGEST_CHARS = 32

/** Store keys of jobs. They are outside the key ranges that every entry mirrors. */
export class JobKeys {
  private readonly prefix: string

  /** @param prefix - prefix of all keys */
  constructor (prefix: string) {
    this.prefix = prefix
  }

  /**
   * @param service - name of the service
   * @returns key prefix of the service's requests: jobs and cancellations
   */
  requestsPrefix (service: string): string {
    return `${this.prefix}-requests/${service}/`
  }

  /**
   * @param service - name of the service
   * @param id - id of the job
   * @returns key of the job as it was accepted
   */
  job (service: string, id: string): string {
    return `${this.requestsPrefix(service)}jobs/${id}`
  }

  /**
   * @param address - address of the queue that the job was submitted to
   * @param id - id of the job
   * @returns key of the job's index entry, which does not depend on the service that the queue has now
   */
  indexEntry (address: string, id: string): string {
    const digest = createHash('sha256').update(address).digest('hex').slice(0, ADDRESS_DIGEST_CHARS)
    return `${this.prefix}-index/${digest}/${id}`
  }

  /**
   * @param service - name of the service
   * @param id - id of the job
   * @returns key of the job's cancellation
   */
  cancellation (service: string, id: string): string {
    return `${this.requestsPrefix(service)}cancellations/${id}`
  }

  /**
   * @param service - name of the service
   * @returns key prefix of the progress records of the service's jobs
   */
  progressPrefix (service: string): string {
    return `${this.prefix}-progress/${service}/`
  }

  /**
   * @param service - name of the service
   * @param id - id of the job
   * @returns key of the job's progress record
   */
  progress (service: string, id: string): string {
    return this.progressPrefix(service) + id
  }

  /**
   * @param service - name of the service
   * @returns key of the service's term record
   */
  term (service: string): string {
    return `${this.prefix}-terms/${service}`
  }

  /** @returns key prefix of the records of client accounts' quotas: what each service may have running of each */
  quotasPrefix (): string {
    return `${this.prefix}-quotas/`
  }

  /** @returns key of the fleet leader's record of maintenance waves */
  waveRecords (): string {
    return `${this.prefix}-fleet`
  }
}

/**
 * @param key - key of a job, a cancellation or a progress record
 * @returns id of the job
 */
export function jobIdFromKey (key: string): string {
  return key.slice(key.lastIndexOf('/') + 1)
}
