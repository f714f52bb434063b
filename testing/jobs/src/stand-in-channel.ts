import { setMaxListeners } from 'node:events'
import { err, onAbort, type Result } from '@wisteriaslip/core.result'
import type { WorkerCalls, WorkerChannel, WorkerEndpoint, WorkerError } from '@wisteriaslip/jobs.model'

/** What stand-ins of workers do with the calls that come over a channel. */
export type ChannelCalls<Peer> = { [Name in keyof WorkerCalls]: (channel: StandInChannel<Peer>, ...args: Parameters<WorkerCalls[Name]>) => ReturnType<WorkerCalls[Name]> }

/** A connection to a stand-in of a worker, which breaks as a socket does: with a call that is aborted or gets no response. */
export class StandInChannel<Peer> implements WorkerChannel {
  readonly endpoint: WorkerEndpoint
  /** The incarnation that has accepted the connection; undefined before the first call has arrived. */
  peer: Peer | undefined
  /** The other side has ended the connection. */
  wasReset = false
  private readonly calls: ChannelCalls<Peer>
  private readonly ending = new AbortController()

  /**
   * @param endpoint - the worker that is called
   * @param calls - carry the calls out; their signals abort when the channel ends
   */
  constructor (endpoint: WorkerEndpoint, calls: ChannelCalls<Peer>) {
    this.endpoint = endpoint
    this.calls = calls
    setMaxListeners(0, this.ending.signal)
  }

  get ended (): AbortSignal {
    return this.ending.signal
  }

  close (): void {
    if (!this.ending.signal.aborted) this.ending.abort()
  }

  /** Ends the connection as the other side does. */
  reset (): void {
    if (this.ending.signal.aborted) return
    this.wasReset = true
    this.ending.abort()
  }

  /**
   * Notes which incarnation a call has arrived at.
   * @param peer - the one that is there now
   * @returns whether it is the one that has accepted the connection; otherwise the call does not reach it
   */
  reaches (peer: Peer): boolean {
    this.peer ??= peer
    return this.peer === peer
  }

  async start (...[command, signal]: Parameters<WorkerCalls['start']>): ReturnType<WorkerCalls['start']> {
    return await this.carryOut(signal, async inner => await this.calls.start(this, command, inner))
  }

  async stop (...[command, signal]: Parameters<WorkerCalls['stop']>): ReturnType<WorkerCalls['stop']> {
    return await this.carryOut(signal, async inner => await this.calls.stop(this, command, inner))
  }

  async poll (...[opts, signal]: Parameters<WorkerCalls['poll']>): ReturnType<WorkerCalls['poll']> {
    return await this.carryOut(signal, async inner => await this.calls.poll(this, opts, inner))
  }

  async setSpeed (...[command, signal]: Parameters<WorkerCalls['setSpeed']>): ReturnType<WorkerCalls['setSpeed']> {
    return await this.carryOut(signal, async inner => await this.calls.setSpeed(this, command, inner))
  }

  private async carryOut<T> (signal: AbortSignal, call: (signal: AbortSignal) => Promise<Result<T, WorkerError>>): Promise<Result<T, WorkerError>> {
    if (signal.aborted) this.close()
    if (this.ended.aborted) return err({ kind: 'refused', reason: 'not-sent' })
    const detach = onAbort(signal, () => this.close())
    try {
      const response = await call(this.ended)
      if (!response.ok && isWithoutResponse(response.error)) this.close()
      return response
    } finally {
      detach()
    }
  }
}

function isWithoutResponse (error: WorkerError): boolean {
  return error.kind === 'unknown' || (error.kind === 'refused' && error.reason === 'not-sent')
}
