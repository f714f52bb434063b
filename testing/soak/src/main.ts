import { existsSync } from 'node:fs'
import { mkdir, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parseArgs } from 'node:util'
import type { SubmittedJob } from './callers.ts'
import { allEntriesDown, leadersInTurn } from './leaders-lost.ts'
import { play } from './play.ts'
import { randomFaults } from './random-faults.ts'
import { recut } from './recut.ts'
import { formatGap } from './report.ts'
import { goneWithLeaders, replacedUnnoticed, type Scenario } from './scenario.ts'

const { values } = parseArgs({
  options: {
    seeds: { type: 'string', default: '1-4' },
    seconds: { type: 'string', default: '40' },
    parallel: { type: 'string', default: '2' },
    scenario: { type: 'string', default: 'random' },
    folder: { type: 'string', default: join(tmpdir(), 'wisteriaslip-soak') },
    binary: { type: 'string', default: 'dist/wisteriaslip' },
    keep: { type: 'boolean', default: false }
  }
})

if (!existsSync(values.binary)) throw new Error(`${values.binary} is missing: run npm run build, or name another program with --binary`)
const stop = new AbortController()
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => stop.abort())
const queue = parseSeeds(values.seeds)
const broken: number[] = []
await Promise.all(Array.from({ length: Number(values.parallel) }, async () => {
  for (let seed = queue.shift(); seed !== undefined && !stop.signal.aborted; seed = queue.shift()) if (!await playSeed(seed)) broken.push(seed)
}))
process.stdout.write(`broken seeds: ${broken.length === 0 ? 'none' : broken.sort((a, b) => a - b).join(',')}\n`)
process.exitCode = broken.length === 0 ? 0 : 1

/** Plays one seed. Logs of plays that broke nothing are removed. @returns whether no promise was broken */
async function playSeed (seed: number): Promise<boolean> {
  const folder = join(values.folder, `${values.scenario}-${seed}-${Date.now()}`)
  await mkdir(folder, { recursive: true })
  const result = await play(scenarioOf(seed), { seed, folder, binary: values.binary, signal: stop.signal }).catch(error => String(error.stack ?? error))
  if (typeof result === 'string') {
    process.stdout.write(`seed ${seed}: could not be played: ${result}; ${folder}\n`)
    return false
  }
  const counts = new Map<string, number>()
  for (const { rule } of result.violations) counts.set(rule, (counts.get(rule) ?? 0) + 1)
  const summary = `seed ${seed}: ${result.jobs.length} jobs, ${result.jobs.filter(({ accepted }) => accepted).length} accepted, ${result.jobs.filter(isLeft).length} left, ${result.runs.length} runs, calm for ${Math.round(result.calmMs / 1_000)} s, undisturbed for ${Math.round(result.undisturbedAtEndMs / 1_000)} s after the faults, longest wait ${result.longestWaitMs} ms, ${result.longestGap === undefined ? 'no gap' : formatGap(result.longestGap)}, held up ${result.heldUpMs} ms; ${counts.size === 0 ? 'none broken' : [...counts].map(([rule, count]) => `${rule} ${count}`).join(', ')}`
  if (stop.signal.aborted) process.stdout.write(`seed ${seed} was stopped early\n`)
  process.stdout.write(`${summary}${counts.size === 0 ? '' : `; ${folder}`}\n`)
  if (counts.size === 0 && !values.keep) await rm(folder, { recursive: true })
  else {
    await writeFile(join(folder, 'report.txt'), `${summary}\n${result.report}\n`)
    await writeFile(join(folder, 'seen.json'), JSON.stringify(result.seen))
  }
  return counts.size === 0
}

/** @returns whether a job still has tasks to do, which may be allowed */
function isLeft ({ accepted, cancelled, plan, state }: SubmittedJob): boolean {
  return accepted && !cancelled && plan.runMs > 0 && state !== 'completed' && state !== 'failed'
}

function scenarioOf (seed: number): Scenario {
  const replaced = { calmMs: 8_000, cutMs: 12_000, finishMs: 20_000 }
  if (values.scenario === 'replaced') return replacedUnnoticed(replaced)
  if (values.scenario === 'gone') return goneWithLeaders()
  if (values.scenario === 'recut') return recut(seed)
  if (values.scenario === 'dark') return allEntriesDown(seed)
  if (values.scenario === 'turns') return leadersInTurn(seed)
  if (values.scenario === 'majority') return replacedUnnoticed({ ...replaced, companions: 1 })
  return randomFaults(seed, { forMs: Number(values.seconds) * 1_000 })
}

function parseSeeds (text: string): number[] {
  return text.split(',').flatMap(part => {
    const [first = 0, last = first] = part.split('-').map(Number)
    return Array.from({ length: last - first + 1 }, (_, index) => first + index)
  })
}
