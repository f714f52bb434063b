import { delay, linkAbort, onAbort, type LinkedAbort } from '@wisteriaslip/core.result'
import type { WorkerChannel } from '@wisteriaslip/jobs.model'

const OPEN_RETRY_MS = 150

/** Options of {@link CommandChannel}. */
export interface CommandChannelOpts {
  /** @returns a new channel to the worker */
  readonly connect: () => WorkerChannel
  /** @returns whether the incarnation that is meant has responded to a call on this channel */
  readonly identify: (channel: WorkerChannel, signal: AbortSignal) => Promise<boolean>
  /** @returns whether it is worth trying: the worker responds */
  readonly mayOpen: () => boolean
  /** Called when commands can be sent from now on, or no longer. */
  readonly onChange: (isOpen: boolean) => void
  /** Called with an unexpected error of the options' functions. */
  readonly onError: (error: unknown) => void
}

/** The channel for commands to one incarnation of a worker: it carries none before that incarnation has responded on it. */
export class CommandChannel {
  private readonly opts: CommandChannelOpts
  /** Ends the waits for the channel. */
  private readonly waits = new Set<() => void>()
  private channel: WorkerChannel | undefined
  /** The attempt in progress. */
  private opening: LinkedAbort | undefined
  private closed = false

  /** @param opts - connects and identifies the worker */
  constructor (opts: CommandChannelOpts) {
    this.opts = opts
  }

  /** @returns the channel, undefined while there is none on which the incarnation has responded */
  current (): WorkerChannel | undefined {
    return this.channel
  }

  /**
   * Waits for the channel.
   * @param signal - ends the wait
   * @returns the channel, undefined when the signal has aborted before, or the channel is closed for good
   */
  async whenOpen (signal: AbortSignal): Promise<WorkerChannel | undefined> {
    if (this.channel !== undefined || this.closed || signal.aborted) return this.channel
    await new Promise<void>(resolve => {
      const end = (): void => {
        this.waits.delete(end)
        detach()
        resolve()
      }
      const detach = onAbort(signal, end)
      this.waits.add(end)
    })
    return this.channel
  }

  /**
   * Opens the channel unless it is open or being opened, and again whenever it ends.
   * @param signal - ends the attempts
   */
  keepOpen (signal: AbortSignal): void {
    if (this.channel !== undefined || this.opening !== undefined || this.closed) return
    const opening = linkAbort(signal)
    this.opening = opening
    this.openUntil(opening.signal, signal).catch(this.opts.onError).finally(() => {
      opening.release()
      if (this.opening === opening) this.opening = undefined
    })
  }

  /** Ends the channel for good. */
  close (): void {
    this.closed = true
    this.opening?.abort()
    this.channel?.close()
    this.channel = undefined
    this.endWaits()
  }

  private async openUntil (openingSignal: AbortSignal, signal: AbortSignal): Promise<void> {
    while (!openingSignal.aborted && this.opts.mayOpen()) {
      const channel = await this.openOnce(openingSignal)
      if (channel !== undefined && this.use(channel, signal)) return
      await delay(OPEN_RETRY_MS, openingSignal)
    }
  }

  private async openOnce (signal: AbortSignal): Promise<WorkerChannel | undefined> {
    const channel = this.opts.connect()
    let isIdentified = false
    try {
      isIdentified = await this.opts.identify(channel, signal) && !channel.ended.aborted && !signal.aborted
    } finally {
      if (!isIdentified) channel.close()
    }
    return isIdentified ? channel : undefined
  }

  /** Returns false if the channel has ended meanwhile. */
  private use (channel: WorkerChannel, signal: AbortSignal): boolean {
    if (this.closed || signal.aborted || channel.ended.aborted) {
      channel.close()
      return false
    }
    this.channel = channel
    this.opening = undefined
    channel.ended.addEventListener('abort', () => this.lose(channel, signal), { once: true })
    this.opts.onChange(true)
    this.endWaits()
    return true
  }

  private lose (channel: WorkerChannel, signal: AbortSignal): void {
    if (this.channel !== channel) return
    this.channel = undefined
    if (this.closed) return
    this.opts.onChange(false)
    this.keepOpen(signal)
  }

  private endWaits (): void {
    for (const end of [...this.waits]) end()
  }
}
