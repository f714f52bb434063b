/** Time limits that the deployment sets, in milliseconds. */
export interface JobLimits {
  /** Longest lease that a worker grants. */
  readonly longestLeaseMs: number
  /** Longest time from a stop command until the run has ended. */
  readonly stopMs: number
  /** Time within which an entry must complete a graceful shutdown. */
  readonly shutdownGraceMs: number
  /** Retention time of the records of finished jobs. */
  readonly keepMs: number
  /** Duration of the maintenance of one VM. */
  readonly maintenanceMs: number
}
