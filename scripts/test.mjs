// Runs all tests, or those in files whose path contains one of the arguments.
// Prints all entries of KNOWN-RED.txt. The tests named there run too, but their failures don't fail the run; any other
// failure does, as does a test file that cannot be loaded, reports no test or ends before its last one. Tests that press a
// process to its limits run after all others, one at a time.
import { once } from 'node:events'
import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { run } from 'node:test'
import { spec as Spec } from 'node:test/reporters'
import { FileResults } from './file-results.mjs'

const ALONE_FOLDER = join('testing', 'crowd', 'test')
const SKIPPED_FOLDERS = new Set(['node_modules', 'dist', '.git'])

const knownEntries = readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => line !== '' && !line.startsWith('#'))
const knownNames = new Set(knownEntries.map(line => line.split('|')[0].trim()))
const pathFilters = process.argv.slice(2)
const files = findTestFiles('.').filter(file => pathFilters.length === 0 || pathFilters.some(filter => file.includes(filter)))

let passed = 0
let failed = 0
const knownFailures = []
const results = new FileResults(files)
await runFiles(files.filter(file => !file.startsWith(ALONE_FOLDER)), 2)
await runFiles(files.filter(file => file.startsWith(ALONE_FOLDER)), 1)

const failures = results.failures()
failed += failures.length
for (const line of knownEntries) process.stdout.write(`known red: ${line}\n`)
for (const { file, reason } of failures) process.stdout.write(`failed file: ${file} ${reason}\n`)
process.stdout.write(`${passed} passed, ${failed} failed, ${knownFailures.length} skipped\n`)
process.exitCode = failed === 0 && passed > 0 ? 0 : 1

/** Runs test files, as many at a time as given, and collects their results. */
async function runFiles (files, concurrency) {
  if (files.length === 0) return
  const stream = run({ files, concurrency })
  stream.on('test:enqueue', event => results.noteBegun(event))
  stream.on('test:pass', event => {
    results.noteEnded(event, true)
    if (isTestCase(event)) passed += 1
  })
  stream.on('test:fail', event => {
    results.noteEnded(event, false)
    if (!isTestCase(event)) return
    if (knownNames.has(event.name)) knownFailures.push(event.name)
    else failed += 1
  })
  stream.compose(new Spec()).pipe(process.stdout, { end: false })
  await once(stream, 'end')
  await new Promise(resolve => { setImmediate(resolve) })
}

function isTestCase (event) {
  return event.details?.type !== 'suite' && !results.isFile(event)
}

function findTestFiles (folder) {
  return readdirSync(folder, { withFileTypes: true }).flatMap(item => {
    if (SKIPPED_FOLDERS.has(item.name)) return []
    const path = join(folder, item.name)
    if (item.isDirectory()) return findTestFiles(path)
    return item.name.endsWith('.test.ts') ? [path] : []
  })
}
