/**
 * Runs all benches, or those named, and holds their figures against the bounds in bounds.json. Prints JSON lines.
 * @module
 */
import { benchAllotments } from './allotments.ts'
import { checkBound, print } from './bounds.ts'
import { benchEntryCost } from './entry-cost.ts'
import { benchFlood, floods } from './floods.ts'
import { playPeaks, policies } from './job-peaks.ts'
import { benchLeaderLoss } from './leader-loss.ts'
import { benchMoves } from './moves.ts'
import { benchPlanning } from './planning.ts'
import { benchWaves } from './waves.ts'

const SEED = 1
const BINARY = 'dist/wisteriaslip'

type Figures = Readonly<Record<string, number>>

const benches: Readonly<Record<string, () => Promise<Figures>>> = {
  allotments: async () => {
    const results = await benchAllotments(SEED)
    print('allotments', results)
    const { allotments, 'fixed-shares': fixed } = results
    return {
      overruns: allotments?.overruns ?? Number.NaN,
      controlBytesPerEntryPerSecond: allotments?.controlBytesPerEntryPerSecond ?? Number.NaN,
      completedOverFixedShares: (allotments?.completed ?? Number.NaN) / (fixed?.completed ?? Number.NaN)
    }
  },
  floods: async () => {
    const kept: number[] = []
    for (const flood of Object.keys(floods)) {
      const retained = await benchFlood(flood, SEED)
      print(`floods.${flood}`, retained)
      kept.push(...retained.map(each => each.keptThroughput))
    }
    return { leastKept: Math.min(...kept) }
  },
  leaderLoss: async () => {
    const killed = await benchLeaderLoss('SIGKILL', BINARY)
    const frozen = await benchLeaderLoss('SIGSTOP', BINARY)
    print('leaderLoss', { killed, frozen })
    return {
      waitMaxMs: Math.max(killed.waitMaxMs, frozen.waitMaxMs),
      refused: killed.refused + frozen.refused,
      overruns: killed.overruns + frozen.overruns
    }
  },
  waves: async () => {
    const results = benchWaves(SEED)
    print('waves', results)
    const sites = Object.values(results)
    return {
      rollOutOverBound: Math.max(...sites.map(site => site.rollOutOverBound)),
      budgetBroken: sites.reduce((sum, site) => sum + site.budgetBroken, 0),
      bufferOverRackLoss: Math.max(...sites.map(site => site.bufferVms / site.largestRackLoss))
    }
  },
  moves: async () => {
    const result = benchMoves()
    print('moves', result)
    return { shareOfNaive: result.shareOfNaive }
  },
  planning: async () => {
    print('planning', benchPlanning())
    return {}
  },
  jobPeaks: async () => {
    const results = Object.fromEntries(await Promise.all(Object.entries(policies).map(async ([name, policy]) => [name, await playPeaks(policy, SEED)] as const)))
    print('jobPeaks', results)
    const { product, firstCome, fixedPools, threshold, bound } = results
    const others = Math.max(firstCome?.inTime ?? Number.NaN, fixedPools?.inTime ?? Number.NaN, threshold?.inTime ?? Number.NaN)
    return {
      inTimeOverBound: (product?.inTime ?? Number.NaN) / (bound?.inTime ?? Number.NaN),
      inTimeOverOthers: (product?.inTime ?? Number.NaN) / others
    }
  },
  entryCost: async () => {
    const cost = await benchEntryCost(BINARY)
    print('entryCost', cost)
    return { restMiB: cost.restMiB, restCoreShare: cost.restCoreShare }
  }
}

const only = process.argv.slice(2)
let broken = 0
for (const [name, bench] of Object.entries(benches)) {
  if (only.length > 0 && !only.includes(name)) continue
  for (const [figure, value] of Object.entries(await bench())) broken += checkBound(`${name}.${figure}`, value)
}
process.stdout.write(`${broken} bounds broken\n`)
process.exitCode = broken === 0 ? 0 : 1
