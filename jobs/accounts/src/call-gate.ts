import type { Logger } from '@wisteriaslip/core.logger'
import type { Metrics } from '@wisteriaslip/core.metrics'
import type { Clock } from '@wisteriaslip/core.result'
import type { Queue } from '@wisteriaslip/jobs.model'
import type { AccountDirectory, RefusalReason } from './account-directory.ts'
import { RefusalLog } from './refusal-log.ts'

/** Digits of a digest in the log: enough to tell keys apart. */
const DIGEST_CHARS = 12
/** Characters of a call's path in the log. */
const MAX_PATH_CHARS = 128

/** Whether a call may come in. */
export type Admission =
  /**
   * `account` is that of the call's key. `owner` is set where jobs of other accounts look like none to this call; it is
   * undefined for public queues and without accounts.
   */
  | { readonly kind: 'admitted', readonly account: string | undefined, readonly owner: string | undefined }
  | { readonly kind: 'refused', readonly reason: RefusalReason }

/** What a call says of itself. */
export interface Call {
  readonly method: string | undefined
  readonly path: string
  readonly authorization: string | undefined
}

/** Options of {@link CallGate}. */
export interface CallGateOpts {
  /** @returns accounts and version of the newest configuration; accounts are undefined where it has none */
  readonly current: () => { readonly accounts: AccountDirectory | undefined, readonly version: number | undefined }
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
}

/** Decides which calls may come in, by the newest configuration of this entry. Each call is asked for anew, also on an open connection. */
export class CallGate {
  private readonly opts: CallGateOpts
  private readonly refusals: RefusalLog

  constructor (opts: CallGateOpts) {
    this.opts = opts
    this.refusals = new RefusalLog(opts.clock, opts.logger, 'call refused')
  }

  /** @returns whether the newest configuration has accounts, so that calls need keys */
  asksForKeys (): boolean {
    return this.opts.current().accounts !== undefined
  }

  /**
   * @param queue - the queue that the call names; undefined where only its body names one, which counts as not public
   * @param call - the call, whose body need not have been read
   * @returns whether it may come in, and for which account
   */
  admit (queue: Queue | undefined, call: Call): Admission {
    const { accounts, version } = this.opts.current()
    if (accounts === undefined) return { kind: 'admitted', account: undefined, owner: undefined }
    const known = accounts.authenticate(call.authorization)
    const isPublic = queue?.public === true
    if (known.kind === 'account') return { kind: 'admitted', account: known.account.name, owner: isPublic ? undefined : known.account.name }
    if (isPublic) return { kind: 'admitted', account: undefined, owner: undefined }
    this.opts.metrics.count('calls_refused_total', { reason: known.reason })
    this.refusals.note({ reason: known.reason, keySha256: known.digest?.slice(0, DIGEST_CHARS), method: call.method, path: call.path.split('?')[0]?.slice(0, MAX_PATH_CHARS), queue: queue?.name, configVersion: version })
    return { kind: 'refused', reason: known.reason }
  }
}
