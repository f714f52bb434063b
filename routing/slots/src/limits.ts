/** How long an entry may use its allotment after the last proof that it is still in force. */
export const HOLD_MS = 10_000
/** The leader adds this to cover timer granularity before it counts an allotment as lapsed. */
export const LAPSE_MARGIN_MS = 500
/** A leader hears from every entry at least this often. */
export const RENEW_MS = 3_000
/** A report counts towards the majority that follows a leader for this long. */
export const FOLLOWING_MS = 5_000
/** An entry counts as hearing a leader for longer than that leader may count it as following. */
export const HEARING_MS = 2 * FOLLOWING_MS + 1_000
