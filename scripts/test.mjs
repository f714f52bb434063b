// Runs all tests. Failures listed in KNOWN-RED.txt are printed and passed over; any other failure fails the run.
import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { run } from 'node:test'
import { spec as Spec } from 'node:test/reporters'

const SKIPPED = new Set(['node_modules', 'dist', '.git'])

const known = readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => line !== '' && !line.startsWith('#'))
const names = new Set(known.map(line => line.split('|')[0].trim()))
const only = process.argv.slice(2)
const files = findTests('.').filter(file => only.length === 0 || only.some(part => file.includes(part)))

let passed = 0
let failed = 0
const red = []
const stream = run({ files, concurrency: 2 })
stream.on('test:pass', event => { if (isTest(event)) passed += 1 })
stream.on('test:fail', event => {
  if (!isTest(event)) return
  if (names.has(event.name)) red.push(event.name)
  else failed += 1
})
stream.compose(new Spec()).pipe(process.stdout)
stream.on('end', () => {
  setImmediate(() => {
    for (const line of known) process.stdout.write(`known red: ${line}\n`)
    process.stdout.write(`${passed} passed, ${failed} failed, ${red.length} skipped\n`)
    process.exitCode = failed === 0 && passed > 0 ? 0 : 1
  })
})

function isTest (event) {
  return event.details?.type !== 'suite' && !files.some(file => event.name === file || event.name.endsWith(file))
}

function findTests (folder) {
  return readdirSync(folder, { withFileTypes: true }).flatMap(item => {
    if (SKIPPED.has(item.name)) return []
    const path = join(folder, item.name)
    if (item.isDirectory()) return findTests(path)
    return item.name.endsWith('.test.ts') ? [path] : []
  })
}
