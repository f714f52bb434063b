import { weightedMedian } from './median.ts'

/** Figures older than this are no part of a level: workers report about twice a second, and some late. */
const MAX_FIGURE_AGE_MS = 2_000
/** With fewer tasks at work, the load of one cannot be told from what disturbs it. */
const MIN_FIGURES = 3
const MAX_FIGURES = 64
const MAX_GROUPS = 256
/** A level is used for this long before it is determined again. */
const LEVEL_TTL_MS = 250
/** A group that nothing was heard of for this long is forgotten. */
const MAX_GROUP_AGE_MS = 10_000

interface Group {
  readonly figures: Map<string, { readonly figure: number, readonly at: number }>
  level: number | undefined
  levelAt: number
  heardAt: number
}

/**
 * What the load of serving tasks explains of their figures: tasks of a group share one load, so that the median of their figures
 * follows it, while neighbours raise the figures of a few.
 */
export class OwnLoad {
  private readonly groups = new Map<string, Group>()

  /**
   * @param group - name of the group
   * @param run - key of a run of it
   * @param figure - logarithm of its figure
   * @param now - time in milliseconds
   */
  record (group: string, run: string, figure: number, now: number): void {
    const known = this.groups.get(group) ?? this.add(group, now)
    if (known === undefined) return
    known.heardAt = now
    if (!known.figures.has(run) && known.figures.size >= MAX_FIGURES) removeOld(known, now)
    if (known.figures.has(run) || known.figures.size < MAX_FIGURES) known.figures.set(run, { figure, at: now })
  }

  /**
   * @param group - name of the group
   * @param now - time in milliseconds
   * @returns the median of its recent figures, undefined if there are too few
   */
  levelOf (group: string, now: number): number | undefined {
    const known = this.groups.get(group)
    if (known === undefined) return undefined
    if (now - known.levelAt < LEVEL_TTL_MS) return known.level
    removeOld(known, now)
    const figures = [...known.figures.values()].map(({ figure }) => ({ value: figure, weight: 1 }))
    known.level = figures.length < MIN_FIGURES ? undefined : weightedMedian(figures)
    known.levelAt = now
    return known.level
  }

  /** @param now - time in milliseconds */
  forgetOld (now: number): void {
    for (const [name, { heardAt }] of this.groups) if (now - heardAt > MAX_GROUP_AGE_MS) this.groups.delete(name)
  }

  private add (name: string, now: number): Group | undefined {
    if (this.groups.size >= MAX_GROUPS) return undefined
    const group: Group = { figures: new Map(), level: undefined, levelAt: Number.NEGATIVE_INFINITY, heardAt: now }
    this.groups.set(name, group)
    return group
  }
}

function removeOld (group: Group, now: number): void {
  for (const [run, { at }] of group.figures) if (now - at > MAX_FIGURE_AGE_MS) group.figures.delete(run)
}
