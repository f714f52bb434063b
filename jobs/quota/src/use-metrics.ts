import type { Metrics } from '@wisteriaslip/core.metrics'
import type { Resources } from '@wisteriaslip/jobs.model'

/** Accounts whose use and parts a term shows; the first that it meets. */
const MAX_ACCOUNTS = 100

/** What an account uses of its quota in a service, and its part. */
export interface UseAndPart {
  readonly use: Resources
  readonly part: Resources
}

/** Shows the use and the parts of accounts as gauges: `quota_use_cpu` and `quota_part_cpu`, in thousandths of a core. */
export class UseMetrics {
  private readonly opts: { readonly service: string, readonly metrics: Metrics }
  private readonly read: (account: string) => UseAndPart
  private readonly shown = new Set<string>()
  private ended = false

  /**
   * @param opts - service and metrics
   * @param read - reads the present figures of an account
   */
  constructor (opts: { readonly service: string, readonly metrics: Metrics }, read: (account: string) => UseAndPart) {
    this.opts = opts
    this.read = read
  }

  /** @param account - name of an account to show from now on */
  observe (account: string): void {
    if (this.shown.has(account) || this.shown.size >= MAX_ACCOUNTS) return
    this.shown.add(account)
    const { service, metrics } = this.opts
    const labels = { account, service }
    metrics.gauge('quota_use_cpu', labels, () => this.ended ? 0 : this.read(account).use.cpu)
    metrics.gauge('quota_part_cpu', labels, () => this.ended ? 0 : this.read(account).part.cpu)
  }

  /** Shows 0 from now on: the term has ended. */
  end (): void {
    this.ended = true
  }
}
