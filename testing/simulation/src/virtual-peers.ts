import { err, ok, withTimeout, type Result } from '@wisteriaslip/core.result'
import type { PeerPort } from '@wisteriaslip/jobs.entry'
import type { JobPeerService } from '@wisteriaslip/jobs.protocol'
import type { PeerError } from '@wisteriaslip/peers.protocol'
import type { VirtualProcess } from '@wisteriaslip/testing.jobs'
import type { Draw } from './draw.ts'
import type { EntryLink } from './entry-link.ts'

/** How long a message is under way, in milliseconds. */
const NETWORK_MS = { least: 1, spread: 3 }
const CALL_TIMEOUT_MS = 1_000

type Method = keyof JobPeerService
type Reply<M extends Method> = Awaited<ReturnType<JobPeerService[M]>>

/** A process that serves its peers. */
interface Serving {
  readonly link: EntryLink
  readonly service: JobPeerService
}

/** Connections between entries in memory, on a virtual clock: calls and replies are late, get lost, or find no process. */
export class VirtualPeers {
  private readonly process: VirtualProcess
  private readonly draw: Draw
  private readonly serving = new Map<string, Serving>()
  /** Entries whose machine is off: it refuses no connections, as it does not respond at all. */
  private readonly off = new Set<string>()

  /**
   * @param process - gives the time
   * @param draw - decides about delays
   */
  constructor (process: VirtualProcess, draw: Draw) {
    this.process = process
    this.draw = draw
  }

  /**
   * Ends what a process serves, if it has not done so itself.
   * @param link - connections of the process
   * @param opts - whether its machine is off from then on, until a process serves there again
   */
  ended (link: EntryLink, opts: { isOff?: boolean } = {}): void {
    if (this.serving.get(link.entry)?.link === link) this.serving.delete(link.entry)
    if (opts.isOff === true) this.off.add(link.entry)
  }

  /**
   * @param link - connections of a process, whose entry's id is also the host of its address
   * @returns its connection to the others
   */
  port (link: EntryLink): PeerPort {
    return {
      call: async (address, method, input, opts = {}) => await withTimeout(opts.timeoutMs ?? CALL_TIMEOUT_MS, opts.signal, async signal => await this.call(link, address.host, { method, input }, signal)),
      serve: async service => {
        this.serving.set(link.entry, { link, service })
        this.off.delete(link.entry)
        return () => this.ended(link)
      }
    }
  }

  private async call<M extends Method> (from: EntryLink, to: string, { method, input }: { method: M, input: Parameters<JobPeerService[M]>[0] }, signal: AbortSignal): Promise<Result<Reply<M>, PeerError>> {
    const request = JSON.stringify(input)
    return await new Promise(resolve => {
      const end = (reply: Result<Reply<M>, PeerError>): void => from.deliver(() => resolve(reply))
      const reset = (): void => end(unreachable('read ECONNRESET'))
      signal.addEventListener('abort', () => resolve(unreachable('aborted')), { once: true })
      if (signal.aborted) return resolve(unreachable('aborted'))
      const receive = (): void => {
        const peer = this.serving.get(to)
        if (peer === undefined) return this.off.has(to) ? undefined : end(unreachable('connect ECONNREFUSED', true))
        peer.link.deliver(() => {
          serve(peer.service, method, request).then(reply => this.send(peer.link, from, { receive: () => end(reply), reset }), () => end(unreachable('status 500')))
        })
      }
      this.send(from, this.serving.get(to)?.link ?? to, { receive, reset })
    })
  }

  /** Carries a message over a connection, unless that is cut on one of its ends. */
  private send (from: EntryLink, to: EntryLink | string, { receive, reset }: { receive: () => void, reset: () => void }): void {
    if (!from.alive) return
    const [id, link] = typeof to === 'string' ? [to, undefined] : [to.entry, to]
    const delayMs = NETWORK_MS.least + this.draw(NETWORK_MS.spread) + this.draw(1 + Math.max(from.maxLatenessMs, link?.maxLatenessMs ?? 0))
    this.process.outsideAfter(delayMs, () => {
      const cuts = [from.peerCuts.get(id), link?.peerCuts.get(from.entry)]
      if (cuts.includes('reset')) reset()
      else if (!cuts.includes('silent') && cuts[1] !== 'one-way') receive()
    })
  }
}

/** Runs a method on a copy of its input. Both pass as JSON, as they do between processes. */
async function serve<M extends Method> (service: JobPeerService, method: M, request: string): Promise<Result<Reply<M>, PeerError>> {
  const run = service[method] as (input: unknown) => Promise<Reply<M>>
  const reply = await run.call(service, JSON.parse(request))
  return ok(JSON.parse(JSON.stringify(reply)) as Reply<M>)
}

function unreachable (message: string, refused = false): Result<never, PeerError> {
  return err({ kind: 'peer-unreachable', code: 'PEER_UNREACHABLE', message, refused })
}
