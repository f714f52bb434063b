/** How long an entry may use its allotment after the last proof that it is still in force. */
export const ALLOTMENT_TTL_MS = 10_000
/** The leader adds this to cover timer granularity before it counts an allotment as lapsed. */
export const EXPIRY_MARGIN_MS = 500
/** A leader hears from every entry at least this often. */
export const RENEW_INTERVAL_MS = 3_000
/** A report counts towards the majority that follows a leader for this long. */
export const FOLLOWER_TIMEOUT_MS = 5_000
/** An entry counts as hearing a leader for longer than that leader may count it as following. */
export const LEADER_CONTACT_TIMEOUT_MS = 2 * FOLLOWER_TIMEOUT_MS + 1_000
