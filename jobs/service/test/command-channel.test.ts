import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ok } from '@wisteriaslip/core.result'
import { StandInChannel } from '@wisteriaslip/testing.jobs'
import { CommandChannel } from '../src/command-channel.ts'

/** The steps between a response and the use of its connection are fewer. */
const MAX_TURNS = 8
const endpoint = { id: 'w1', host: 'h', port: 1, token: 1 }

/** Lets all that is due go on. */
async function settle (): Promise<void> {
  for (let turn = 0; turn < 5; turn++) await new Promise(resolve => setImmediate(resolve))
}

/** Calls back after a number of continuations of promises. */
function afterTurns (turns: number, callback: () => void): void {
  if (turns === 0) callback()
  else queueMicrotask(() => afterTurns(turns - 1, callback))
}

/** A channel for commands to a worker that responds at once; `whenIdentified` is called some turns after each connection has been identified. */
function commandChannel (turns: number, whenIdentified: (connection: StandInChannel<unknown>, number: number) => void) {
  const connections: Array<StandInChannel<unknown>> = []
  const changes: boolean[] = []
  const channel = new CommandChannel({
    connect: () => {
      const connection = new StandInChannel<unknown>(endpoint, { start: async () => ok(1), stop: async () => ok(1), setSpeed: async () => ok(1), poll: async () => ok({ clockMs: 1, born: 1, running: [], ended: [], moreEnded: false }) })
      connections.push(connection)
      return connection
    },
    identify: async connection => {
      const number = connections.length - 1
      afterTurns(turns, () => whenIdentified(connection as StandInChannel<unknown>, number))
      return true
    },
    mayOpen: () => true,
    onChange: isOpen => { changes.push(isOpen) },
    onError: assert.ifError
  })
  return { channel, connections, changes }
}

// A connection that ended in the moment in which it had been identified was used for good, or replaced only after the next poll.
test('a connection that ends as soon as it is identified is replaced', async t => {
  for (let turns = 0; turns <= MAX_TURNS; turns++) {
    const { channel, connections, changes } = commandChannel(turns, (connection, number) => { if (number === 0) connection.close() })
    channel.keepOpen(t.signal)
    await new Promise(resolve => setTimeout(resolve, 200))
    assert.equal(channel.current(), connections[1], `after ${turns} turns`)
    assert.equal(changes.at(-1), true)
  }
})

test('a channel that is closed while it is opened does not stay open', async t => {
  for (let turns = 0; turns <= MAX_TURNS; turns++) {
    const { channel, connections } = commandChannel(turns, () => channel.close())
    channel.keepOpen(t.signal)
    await settle()
    assert.equal(channel.current(), undefined)
    assert.deepEqual(connections.map(connection => connection.ended.aborted), [true], `after ${turns} turns`)
    assert.equal(await channel.whenOpen(t.signal), undefined)
  }
})
