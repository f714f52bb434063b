// Runs all tests, or those in files whose path contains one of the arguments.
// Prints all entries of KNOWN-RED.txt. The tests named there run too, but their failures don't fail the run; any other
// failure does, as does a test file that cannot be loaded, reports no test or ends before its last one.
import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { run } from 'node:test'
import { spec as Spec } from 'node:test/reporters'
import { FileResults } from './file-results.mjs'

const SKIPPED_FOLDERS = new Set(['node_modules', 'dist', '.git'])

const knownEntries = readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => line !== '' && !line.startsWith('#'))
const knownNames = new Set(knownEntries.map(line => line.split('|')[0].trim()))
const pathFilters = process.argv.slice(2)
const files = findTestFiles('.').filter(file => pathFilters.length === 0 || pathFilters.some(filter => file.includes(filter)))

let passed = 0
let failed = 0
const knownFailures = []
const results = new FileResults(files)
const stream = run({ files, concurrency: 2 })
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
stream.compose(new Spec()).pipe(process.stdout)
stream.on('end', () => {
  setImmediate(() => {
    const failures = results.failures()
    failed += failures.length
    for (const line of knownEntries) process.stdout.write(`known red: ${line}\n`)
    for (const { file, reason } of failures) process.stdout.write(`failed file: ${file} ${reason}\n`)
    process.stdout.write(`${passed} passed, ${failed} failed, ${knownFailures.length} skipped\n`)
    process.exitCode = failed === 0 && passed > 0 ? 0 : 1
  })
})

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
