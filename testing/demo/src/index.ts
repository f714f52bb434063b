/**
 * Demo on loopback. A first site of three entries, with stand-ins for the store, the VM platform and the executors,
 * serves a few requests; a second site runs two jobs and loses the leader of one. Runs until interrupted, or, with
 * `--once`, to the end of the second job.
 * @module
 */
import { sendRequest, Site } from '@wisteriaslip/testing.site'
import { runJobDemo } from './jobs.ts'

const REQUEST_COUNT = 30

const site = await Site.start({ entries: 3, pools: ['quoting', 'surveys', 'back-office'], executorsPerPool: 4, logLevel: 'warn' })
const print = (line: string): void => { process.stdout.write(`${line}\n`) }

print('Started three entries:')
for (const entry of site.entries) print(`  ${entry.id}  callers ${entry.callers}  operators ${entry.operators}`)

let succeededRequests = 0
for (let index = 0; index < REQUEST_COUNT; index++) {
  const entry = site.entries[index % site.entries.length]
  const reply = await sendRequest(`${entry?.callers ?? ''}/quoting/write?ms=20`, { method: 'POST', body: `quote ${index}`, headers: { 'x-op': `demo-${index}` } })
  if (reply.kind === 'answer' && reply.status === 200) succeededRequests += 1
}
print(`${succeededRequests} of ${REQUEST_COUNT} requests succeeded, sent to the entries in turn.`)

const [firstEntry] = site.entries
print('Commands to try in another terminal:')
print(`  curl -d 'a quote' '${firstEntry?.callers ?? ''}/quoting/write?ms=50'`)
print(`  curl -H 'Idempotency-Key: k1' -d 'a booking' '${firstEntry?.callers ?? ''}/quoting/write'   (run it twice: the request is executed once)`)
print(`  node --import tsx cli/cli/src/main.ts status --entry ${firstEntry?.operators ?? ''}`)
print(`  node --import tsx cli/cli/src/main.ts wave declare kernel --selector service=quoting --entry ${firstEntry?.operators ?? ''}`)
print(`  node --import tsx cli/cli/src/main.ts explain wave kernel --entry ${firstEntry?.operators ?? ''}`)

const jobs = await runJobDemo(print)
const liveEntry = jobs.entries.find(entry => entry.process.child.exitCode === null && entry.process.child.signalCode === null)
print(`  node --import tsx cli/cli/src/main.ts jobs status --entry ${liveEntry?.jobs ?? ''}`)
print(`  node --import tsx cli/cli/src/main.ts jobs explain job stormy --entry ${liveEntry?.jobs ?? ''}`)

const stop = async (): Promise<void> => { await Promise.all([site.stop(), jobs.stop()]) }
if (process.argv.includes('--once')) await stop()
else {
  print('Press Ctrl-C to stop the demo.')
  process.once('SIGINT', () => { stop().finally(() => process.exit(0)).catch(() => {}) })
  process.once('SIGTERM', () => { stop().finally(() => process.exit(0)).catch(() => {}) })
}
