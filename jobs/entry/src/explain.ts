import type { ExplainRequest, ExplainResult } from '@wisteriaslip/jobs.protocol'
import type { PeerLeaderClient } from './leader-client.ts'
import type { SiteView } from './site-view.ts'

/**
 * Explains the current state of a job, worker, pool or wave.
 * @param about - the object to explain
 * @param opts - client of the leaders, and what this entry knows of the store
 * @returns the explanation of its leader, or why there is none
 */
export async function explainObject (about: ExplainRequest, opts: { leaderClient: Pick<PeerLeaderClient, 'explain'>, site: Pick<SiteView, 'servicesWithQueues' | 'waves'> }): Promise<ExplainResult> {
  const explanation = await opts.leaderClient.explain(opts.site.servicesWithQueues(), about)
  if (explanation !== undefined) return { kind: 'explained', explanation }
  const isUndeclared = about.kind === 'wave' && !opts.site.waves().some(wave => String(wave.number) === about.name)
  return { kind: isUndeclared ? 'undeclared' : 'untracked' }
}
