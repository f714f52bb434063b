/** How something is cut off: what is sent never arrives; connections are reset; what is sent arrives and replies are lost. */
export type LinkCut = 'silent' | 'reset' | 'one-way'

/** Connections of one process of an entry. Faults change them; stand-ins look at them whenever a message passes. */
export class EntryLink {
  /** Id of the entry. */
  readonly entry: string
  /** False for good once the process has been killed: what it still sends has no effect, and nothing reaches it. */
  alive = true
  /** How the entry is cut from the store. */
  storeCut: LinkCut | undefined
  /** How the entry is cut from the platform's calls for VMs. */
  fleetCut: LinkCut | undefined
  /** How the entry is cut from VMs, by VM. */
  readonly vmCuts = new Map<string, LinkCut>()
  /** How the entry is cut from other entries, by id. */
  readonly peerCuts = new Map<string, LinkCut>()
  /** Each message is late by up to this, in milliseconds. */
  maxLatenessMs = 0
  /** Runs a callback in the process when that next reads its sockets: later while it is paused, never once it is killed. */
  readonly deliver: (callback: () => void) => void

  /**
   * @param entry - id of the entry
   * @param deliver - hands a callback to the process
   */
  constructor (entry: string, deliver: (callback: () => void) => void) {
    this.entry = entry
    this.deliver = deliver
  }
}
