/** How long an entry may use its allotment after the last confirmation that it is still valid. */
export const ALLOTMENT_TTL_MS = 10_000
/** The leader adds this to cover timer granularity before it treats an allotment as expired. */
export const EXPIRY_MARGIN_MS = 500
/** A leader receives a message from every entry at least this often. */
export const RENEW_INTERVAL_MS = 3_000
/** A report counts its sender as a follower of the leader for this long. */
export const FOLLOWER_TIMEOUT_MS = 5_000
/** An entry considers itself in contact with a leader for longer than that leader may count it as a follower. */
export const LEADER_CONTACT_TIMEOUT_MS = 2 * FOLLOWER_TIMEOUT_MS + 1_000
