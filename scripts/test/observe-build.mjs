// Loaded into a build of build.test.ts before it begins. Writes the states that a file goes through, as seen before and after
// each call to the file system, to another file: `absent`, or the hash of its content. Can kill the build after a call.
import { createHash } from 'node:crypto'
import fs from 'node:fs'
import { syncBuiltinESMExports } from 'node:module'

const { OBSERVED_FILE, STATES_FILE, KILL_AFTER } = process.env
const { appendFileSync, readFileSync, statSync } = fs
let isObserving = false
let lastSeen
let lastState

for (const [owner, name] of functionsOf(fs, name => name.endsWith('Sync'))) {
  const call = owner[name]
  owner[name] = (...args) => {
    observe()
    const result = call(...args)
    observe()
    if (name === KILL_AFTER) process.kill(process.pid, 'SIGKILL')
    return result
  }
}
for (const [owner, name] of functionsOf(fs.promises, () => true)) {
  const call = owner[name]
  owner[name] = async (...args) => {
    observe()
    return await call(...args).finally(observe)
  }
}
syncBuiltinESMExports()

function functionsOf (owner, isObserved) {
  return Object.keys(owner).filter(name => typeof owner[name] === 'function' && isObserved(name)).map(name => [owner, name])
}

function observe () {
  // Some of these functions call others of them.
  if (isObserving) return
  isObserving = true
  noteState()
  isObserving = false
}

function noteState () {
  const stats = statSync(OBSERVED_FILE, { throwIfNoEntry: false })
  const seen = stats === undefined ? 'absent' : `${stats.ino} ${stats.size} ${stats.mtimeMs} ${stats.ctimeMs}`
  if (seen === lastSeen) return
  const state = stats === undefined ? 'absent' : createHash('sha256').update(readFileSync(OBSERVED_FILE)).digest('hex')
  if (state !== lastState) appendFileSync(STATES_FILE, `${state}\n`)
  lastSeen = seen
  lastState = state
}
