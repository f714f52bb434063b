/**
 * Demo on loopback: three entries as processes, stand-ins for the store, the VM platform and the executors,
 * a few real requests, and jobs, one of which loses its leader.
 * @module
 */
import { callOnce, Site } from '@wisteriaslip/testing.site'
import { showJobs } from './jobs.ts'

const REQUESTS = 30

const site = await Site.start({ entries: 3, pools: ['quoting', 'surveys', 'back-office'], executorsPerPool: 4, logLevel: 'warn' })
const say = (line: string): void => { process.stdout.write(`${line}\n`) }

say('Three entries are up:')
for (const entry of site.entries) say(`  ${entry.id}  callers ${entry.callers}  operators ${entry.operators}`)

let answered = 0
for (let index = 0; index < REQUESTS; index++) {
  const entry = site.entries[index % site.entries.length]
  const reply = await callOnce(`${entry?.callers ?? ''}/quoting/write?ms=20`, { method: 'POST', body: `quote ${index}`, headers: { 'x-op': `demo-${index}` } })
  if (reply.kind === 'answer' && reply.status === 200) answered += 1
}
say(`${answered} of ${REQUESTS} requests answered through all entries in turn.`)

const [first] = site.entries
say('Try, from another terminal:')
say(`  curl -d 'a quote' '${first?.callers ?? ''}/quoting/write?ms=50'`)
say(`  curl -H 'Idempotency-Key: k1' -d 'a booking' '${first?.callers ?? ''}/quoting/write'   (twice: it runs once)`)
say(`  node --import tsx cli/cli/src/main.ts status --entry ${first?.operators ?? ''}`)
say(`  node --import tsx cli/cli/src/main.ts wave declare kernel --selector service=quoting --entry ${first?.operators ?? ''}`)
say(`  node --import tsx cli/cli/src/main.ts explain wave kernel --entry ${first?.operators ?? ''}`)

const jobs = await showJobs(say)
const live = jobs.entries.find(entry => entry.process.child.exitCode === null && entry.process.child.signalCode === null)
say(`  node --import tsx cli/cli/src/main.ts jobs status --entry ${live?.jobs ?? ''}`)
say(`  node --import tsx cli/cli/src/main.ts jobs explain job stormy --entry ${live?.jobs ?? ''}`)

const stop = async (): Promise<void> => { await Promise.all([site.stop(), jobs.stop()]) }
if (process.argv.includes('--once')) await stop()
else {
  say('Ctrl-C ends the demo.')
  process.once('SIGINT', () => { stop().finally(() => process.exit(0)).catch(() => {}) })
  process.once('SIGTERM', () => { stop().finally(() => process.exit(0)).catch(() => {}) })
}
