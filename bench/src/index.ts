/**
 * Runs all benches, or those named on the command line, checks their figures against bounds.json and prints JSON lines.
 * @module
 */
import { benchAllotments } from './allotments.ts'
import { checkBound, printFigure } from './bounds.ts'
import { benchEntryCost } from './entry-cost.ts'
import { benchFlood, floods } from './floods.ts'
import { benchJobPeaks, sharingPolicies } from './job-peaks.ts'
import { benchLeaderLoss } from './leader-loss.ts'
import { benchMoves } from './moves.ts'
import { benchPlanning } from './planning.ts'
import { benchAccountQuotas } from './account-quotas.ts'
import { benchAccounts, benchScheduling } from './scheduling.ts'
import { benchWaves } from './waves.ts'

const SEED = 1
const BINARY = 'dist/wisteriaslip'

/** Figures to check, by the last part of their key in bounds.json. */
type BoundedFigures = Readonly<Record<string, number>>

const benches: Readonly<Record<string, () => Promise<BoundedFigures>>> = {
  allotments: async () => {
    const results = await benchAllotments(SEED)
    printFigure('allotments', results)
    const { allotments, 'fixed-shares': fixedShares } = results
    return {
      overruns: allotments?.overruns ?? Number.NaN,
      controlBytesPerEntryPerSecond: allotments?.controlBytesPerEntryPerSecond ?? Number.NaN,
      completedOverFixedShares: (allotments?.completed ?? Number.NaN) / (fixedShares?.completed ?? Number.NaN)
    }
  },
  floods: async () => {
    const keptThroughputs: number[] = []
    for (const flood of Object.keys(floods)) {
      const retentions = await benchFlood(flood, SEED)
      printFigure(`floods.${flood}`, retentions)
      keptThroughputs.push(...retentions.map(each => each.keptThroughput))
    }
    return { leastKept: Math.min(...keptThroughputs) }
  },
  leaderLoss: async () => {
    const killed = await benchLeaderLoss('SIGKILL', BINARY)
    const frozen = await benchLeaderLoss('SIGSTOP', BINARY)
    printFigure('leaderLoss', { killed, frozen })
    return {
      waitMaxMs: Math.max(killed.waitMaxMs, frozen.waitMaxMs),
      refused: killed.refused + frozen.refused,
      overruns: killed.overruns + frozen.overruns
    }
  },
  waves: async () => {
    const results = benchWaves(SEED)
    printFigure('waves', results)
    const sites = Object.values(results)
    return {
      rollOutOverBound: Math.max(...sites.map(site => site.rollOutOverBound)),
      budgetBroken: sites.reduce((sum, site) => sum + site.budgetBroken, 0),
      bufferOverRackLoss: Math.max(...sites.map(site => site.bufferVms / site.largestRackLoss))
    }
  },
  moves: async () => {
    const result = benchMoves()
    printFigure('moves', result)
    return { shareOfNaive: result.shareOfNaive }
  },
  planning: async () => {
    printFigure('planning', benchPlanning())
    return {}
  },
  scheduling: async () => {
    const results = await benchScheduling()
    printFigure('scheduling', results)
    printFigure('schedulingByAccounts', await benchAccounts())
    return {
      growth: Math.max(...results.map(result => result.growth)),
      mostStartUs: Math.max(...results.flatMap(result => Object.values(result.startUsByWorkers)))
    }
  },
  accountQuotas: async () => {
    printFigure('accountQuotas', await benchAccountQuotas())
    return {}
  },
  jobPeaks: async () => {
    const results = Object.fromEntries(await Promise.all(Object.entries(sharingPolicies).map(async ([name, policy]) => [name, await benchJobPeaks(policy, SEED)] as const)))
    printFigure('jobPeaks', results)
    const { product, firstCome, fixedPools, threshold, bound } = results
    const bestOtherInTime = Math.max(firstCome?.inTime ?? Number.NaN, fixedPools?.inTime ?? Number.NaN, threshold?.inTime ?? Number.NaN)
    return {
      inTimeOverBound: (product?.inTime ?? Number.NaN) / (bound?.inTime ?? Number.NaN),
      inTimeOverOthers: (product?.inTime ?? Number.NaN) / bestOtherInTime
    }
  },
  entryCost: async () => {
    const cost = await benchEntryCost(BINARY)
    printFigure('entryCost', cost)
    return { restMiB: cost.restMiB, restCoreShare: cost.restCoreShare }
  }
}

const requestedBenches = process.argv.slice(2)
let brokenBounds = 0
for (const [name, bench] of Object.entries(benches)) {
  if (requestedBenches.length > 0 && !requestedBenches.includes(name)) continue
  for (const [figure, value] of Object.entries(await bench())) brokenBounds += checkBound(`${name}.${figure}`, value)
}
process.stdout.write(`${brokenBounds} bounds broken\n`)
process.exitCode = brokenBounds === 0 ? 0 : 1
