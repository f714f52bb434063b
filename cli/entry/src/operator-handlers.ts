import { applyDocuments, type ApplyRequest } from '@wisteriaslip/config.apply'
import type { Document, DocumentKind } from '@wisteriaslip/config.documents'
import type { Decision, SubjectKind } from '@wisteriaslip/core.decisions'
import type { EntryStatus, Explanation, MemberStatus, OperatorServerOpts, WaveStatus } from '@wisteriaslip/cli.operators'
import type { StoredDocument } from '@wisteriaslip/fleet.view'
import { matchesSelector } from '@wisteriaslip/config.documents'
import type { PeerSync } from './peer-sync.ts'
import type { Pools } from './pools.ts'
import { poolResource } from './resources.ts'
import type { CallMember } from './slot-reporter.ts'
import type { EntryState } from './state.ts'

const EXPLAIN_TIMEOUT_MS = 1_000

/** Options of {@link createOperatorHandlers}. */
export interface OperatorHandlersOpts {
  readonly state: EntryState
  readonly pools: Pools
  readonly sync: PeerSync
  readonly call: CallMember
  readonly ready: () => boolean
}

/**
 * Creates the handlers of the operator API.
 * @param opts - components of the entry
 * @returns options of the operator server, without the key
 */
export function createOperatorHandlers (opts: OperatorHandlersOpts): Omit<OperatorServerOpts, 'key'> {
  const { state } = opts
  return {
    apply: async (request: ApplyRequest, dryRun: boolean) => await applyDocuments(request, { store: state.store, mirror: state.mirror, keys: state.keys, dryRun }),
    documents: (kind, name) => listDocuments(state, kind, name),
    status: () => status(opts),
    explain: async (kind, name) => await explain(opts, kind, name),
    metrics: () => state.metrics.render()
  }
}

function listDocuments (state: EntryState, kind: DocumentKind | undefined, name: string | undefined): Array<{ document: Document, revision: number }> {
  return state.mirror.list<StoredDocument>(state.keys.documents)
    .filter(doc => !doc.value.deleted)
    .map(doc => ({ document: doc.value.document, revision: doc.modRevision }))
    .filter(({ document }) => (kind === undefined || document.kind === kind) && (name === undefined || document.name === name))
}

function status (opts: OperatorHandlersOpts): EntryStatus {
  const { state, pools } = opts
  return {
    id: state.members.self.id,
    ready: opts.ready(),
    revision: state.mirror.revision(),
    storeAvailable: state.store.available(),
    members: memberStatuses(opts),
    pools: [...pools.all()].map(pool => {
      const totals = pool.slots.totals()
      const vms = [...state.fleet.vmsOf(pool.pool)].map(([name, vm]): [string, string] => [name, vm.status])
      return {
        pool: pool.pool,
        leader: state.leadership.leaderOf(poolResource(pool.pool))?.record.id,
        vms: Object.fromEntries(vms),
        slotsHeld: totals.held,
        slotsBusy: totals.busy,
        waiting: pool.queue.waiting()
      }
    }),
    waves: waveStatuses(state),
    latencies: state.metrics.summary()
  }
}

function memberStatuses (opts: OperatorHandlersOpts): MemberStatus[] {
  const { members, mirror, store } = opts.state
  return members.all().map(member => {
    const isSelf = member.incarnation === members.self.incarnation
    const peer = opts.sync.status(member.incarnation)
    return {
      id: member.id,
      zone: member.zone,
      incarnation: member.incarnation,
      revision: isSelf ? mirror.revision() : peer?.revision,
      storeAvailable: isSelf ? store.available() : peer?.storeAvailable
    }
  })
}

function waveStatuses (state: EntryState): WaveStatus[] {
  const config = state.documents.config()
  const out: WaveStatus[] = []
  for (const wave of config?.waves ?? []) {
    for (const pool of config?.pools ?? []) {
      const ledger = state.fleet.ledger(pool.name)
      const progress = ledger.waves[wave.name] ?? { done: [], setAside: [] }
      const selected = [...state.fleet.vmsOf(pool.name).values()].filter(({ vm }) => matchesSelector(wave.selector, vm.labels))
      if (selected.length === 0) continue
      const phases = Object.fromEntries(Object.entries(ledger.places).filter(([, { wave: name }]) => name === wave.name).map(([vm, { phase }]) => [vm, phase.toUpperCase()]))
      out.push({ wave: wave.name, state: wave.state, pool: pool.name, total: selected.length, done: progress.done.length, underWay: Object.keys(phases), phases, setAside: progress.setAside })
    }
  }
  return out
}

async function explain (opts: OperatorHandlersOpts, kind: SubjectKind, name: string): Promise<Explanation> {
  const { state } = opts
  const replies = await Promise.all(state.members.all().map(async member => {
    const reply = await opts.call(member, 'explain', { kind, name }, EXPLAIN_TIMEOUT_MS)
    return reply.ok ? reply.value : []
  }))
  const decisions: Decision[] = replies.flat().sort((a, b) => a.at.localeCompare(b.at))
  return { present: currentState(state, kind, name), decisions }
}

function currentState (state: EntryState, kind: SubjectKind, name: string): Record<string, unknown> {
  if (kind === 'pool') return { vms: [...state.fleet.vmsOf(name).keys()], ledger: state.fleet.ledger(name), leader: state.leadership.leaderOf(poolResource(name)) }
  if (kind === 'wave') return { progress: waveStatuses(state).filter(each => each.wave === name) }
  if (kind !== 'vm') return {}
  const pool = state.fleet.poolOf(name)
  const poolVm = pool === undefined ? undefined : state.fleet.vmsOf(pool).get(name)
  return { pool, status: poolVm?.status, place: poolVm?.disruption, sighting: state.fleet.listedVm(name) }
}
