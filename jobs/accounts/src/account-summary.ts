import type { Account } from '@wisteriaslip/jobs.model'

/** What operators are shown of an account: neither its keys nor their digests. */
export interface AccountSummary extends Pick<Account, 'name' | 'weight' | 'quota'> {
  /** Number of its keys. */
  readonly keys: number
}

/**
 * @param accounts - accounts of a configuration
 * @returns what operators are shown of them
 */
export function summarizeAccounts (accounts: readonly Account[]): AccountSummary[] {
  return accounts.map(({ name, weight, quota, keyDigests }) => ({ name, weight, quota, keys: keyDigests.length }))
}
