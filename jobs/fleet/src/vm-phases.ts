/** Phases of a VM in a wave. */
export const vmPhases = {
  /** No request for its maintenance may take effect. */
  waiting: 'waiting',
  /** A request is in progress, or had no response: it may have taken effect. */
  requested: 'requested',
  /** The platform has confirmed that its maintenance for this wave has begun. */
  begun: 'begun',
  /** It is missing from the platform's lists, and the platform does not maintain it. */
  gone: 'gone'
} as const

/** Phase of a VM in a wave. */
export type VmPhase = typeof vmPhases[keyof typeof vmPhases]
