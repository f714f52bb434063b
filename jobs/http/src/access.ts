import type { IncomingMessage } from 'node:http'
import { hasValidKey } from '@wisteriaslip/core.auth'
import type { Admission, CallGate, RefusalReason } from '@wisteriaslip/jobs.accounts'
import type { Queue } from '@wisteriaslip/jobs.model'

/** Whether a request may come in. Operators act for no account and see the jobs of all. */
export type Access = Admission | { readonly kind: 'refused', readonly reason: 'not-operator' }

/** Status 401: why, and what to do. */
export const accessErrors: Readonly<Record<RefusalReason | 'not-operator', { readonly code: string, readonly message: string, readonly hint: string }>> = {
  'not-operator': { code: 'OPERATOR_KEY_WRONG', message: 'the key is missing or wrong', hint: 'Set WISTERIASLIP_KEY or pass --key-file.' },
  'no-key': { code: 'ACCOUNT_KEY_MISSING', message: 'the queue needs the key of a client account', hint: 'Send Authorization: Bearer KEY.' },
  'unknown-key': { code: 'ACCOUNT_KEY_UNKNOWN', message: 'no client account has this key', hint: 'Ask your operator for a key; one that was removed is not accepted again.' }
}

const operatorAccess = { kind: 'admitted', account: undefined, owner: undefined } as const

/** Options of {@link accessOf}. */
export interface AccessOpts {
  /** Key that operators must present; undefined in a trial without keys. */
  readonly key: string | undefined
  readonly callGate: CallGate
}

/**
 * Decides about a request that only operators may send.
 * @param req - the request
 * @param opts - the operators' key
 * @returns whether it may come in
 */
export function operatorAccessOf (req: IncomingMessage, opts: Pick<AccessOpts, 'key'>): Access {
  return hasValidKey(req, opts.key) ? operatorAccess : { kind: 'refused', reason: 'not-operator' }
}

/**
 * Decides about a request that concerns jobs: it needs the key of a client account where there are any, else the operators'.
 * @param req - the request, whose body need not have been read
 * @param queue - the queue that it names
 * @param opts - the operators' key, and who decides about those of accounts
 * @returns whether it may come in, and for which account
 */
export function jobAccessOf (req: IncomingMessage, queue: Queue | undefined, opts: AccessOpts): Access {
  const isOperator = opts.key !== undefined && hasValidKey(req, opts.key)
  if (isOperator) return operatorAccess
  if (!opts.callGate.asksForKeys()) return operatorAccessOf(req, opts)
  return opts.callGate.admit(queue, { method: req.method, path: req.url ?? '/', authorization: req.headers.authorization })
}
