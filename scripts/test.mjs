// Runs all tests, or those in files whose path contains one of the arguments.
// Prints all entries of KNOWN-RED.txt. The tests named there run too, but their failures don't fail the run; any other
// failure does.
import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { run } from 'node:test'
import { spec as Spec } from 'node:test/reporters'

const SKIPPED_FOLDERS = new Set(['node_modules', 'dist', '.git'])

const knownEntries = readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => line !== '' && !line.startsWith('#'))
const knownNames = new Set(knownEntries.map(line => line.split('|')[0].trim()))
const pathFilters = process.argv.slice(2)
const files = findTestFiles('.').filter(file => pathFilters.length === 0 || pathFilters.some(filter => file.includes(filter)))

let passed = 0
let failed = 0
const knownFailures = []
const stream = run({ files, concurrency: 2 })
stream.on('test:pass', event => { if (isTestCase(event)) passed += 1 })
stream.on('test:fail', event => {
  if (!isTestCase(event)) return
  if (knownNames.has(event.name)) knownFailures.push(event.name)
  else failed += 1
})
stream.compose(new Spec()).pipe(process.stdout)
stream.on('end', () => {
  setImmediate(() => {
    for (const line of knownEntries) process.stdout.write(`known red: ${line}\n`)
    process.stdout.write(`${passed} passed, ${failed} failed, ${knownFailures.length} skipped\n`)
    process.exitCode = failed === 0 && passed > 0 ? 0 : 1
  })
})

function isTestCase (event) {
  return event.details?.type !== 'suite' && !files.some(file => event.name === file || event.name.endsWith(file))
}

function findTestFiles (folder) {
  return readdirSync(folder, { withFileTypes: true }).flatMap(item => {
    if (SKIPPED_FOLDERS.has(item.name)) return []
    const path = join(folder, item.name)
    if (item.isDirectory()) return findTestFiles(path)
    return item.name.endsWith('.test.ts') ? [path] : []
  })
}
