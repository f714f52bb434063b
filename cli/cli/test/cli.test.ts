import assert from 'node:assert/strict'
import { execFile } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { fileURLToPath } from 'node:url'

const MAIN = fileURLToPath(new URL('../src/main.ts', import.meta.url))
const COMMANDS = ['entry', 'apply', 'get', 'validate', 'status', 'label', 'cordon', 'uncordon', 'wave', 'explain']

async function run (...args: string[]): Promise<{ code: number, out: string, err: string }> {
  return await new Promise(resolve => {
    execFile(process.execPath, ['--import', 'tsx', MAIN, ...args], (error, out, err) => {
      resolve({ code: error === null ? 0 : Number(error.code), out, err })
    })
  })
}

async function withFile (text: string, use: (file: string) => Promise<void>): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'wisteriaslip-cli-'))
  const file = join(folder, 'file.json')
  await writeFile(file, text)
  await use(file)
  await rm(folder, { recursive: true })
}

test('prints help for every command, and the version', async () => {
  for (const command of COMMANDS) {
    const { code, out } = await run(command, '--help')
    assert.equal(code, 0)
    assert.match(out, new RegExp(`Usage: wisteriaslip ${command}`))
  }
  assert.match((await run('--version')).out, /^\d+\.\d+\.\d+\n$/)
})

test('invalid input is reported with an exit code and an error code', async () => {
  const cases: Array<[string[], number, RegExp]> = [
    [['nonsense'], 2, /UNKNOWN_COMMAND/],
    [['status', '--nonsense'], 2, /UNKNOWN_FLAG/],
    [['entry'], 2, /SETTINGS_MISSING/],
    [['entry', '--settings', '/nowhere/at/all'], 2, /SETTINGS_UNREADABLE/],
    [['status', '--entry', 'http://127.0.0.1:1'], 3, /ENTRY_UNREACHABLE/],
    [['wave', 'declare', 'x'], 2, /WAVE_INCOMPLETE/],
    [['label', 'vm-1'], 2, /LABELS_MISSING/],
    [['label', 'vm-1', 'rack=r1', 'rack'], 2, /LABEL_INVALID.*rack/],
    [['label', 'vm-1', '=r1'], 2, /LABEL_INVALID/],
    [['wave', 'declare', 'x', '--selector', 'rack'], 2, /SELECTOR_INVALID.*rack/],
    [['wave', 'declare', 'x', '--selector', '=r1'], 2, /SELECTOR_INVALID/],
    [['apply', '--delete', 'pool'], 2, /DELETE_INVALID.*pool/],
    [['apply', '--delete', 'pool/'], 2, /DELETE_INVALID/]
  ]
  for (const [args, code, message] of cases) {
    const result = await run(...args)
    assert.equal(result.code, code, args.join(' '))
    assert.match(result.err, message)
  }
})

test('invalid settings are reported with their path, value and fix', async () => {
  await withFile(JSON.stringify({ id: 'E1', colour: 'red', callers: { host: 'localhost', port: 1 } }), async file => {
    const { code, err } = await run('validate', '--settings', file)
    assert.equal(code, 1)
    assert.match(err, /id: .*got "E1"/)
    assert.match(err, /callers\.host: must be an IP number.*got "localhost"/)
    assert.match(err, /unknown key colour/)
  })
})

test('missing keys are rejected unless trialWithoutKeys is set', async () => {
  const listen = { host: '127.0.0.1', port: 0 }
  const settings = { id: 'e1', region: 'r', zone: 'z', callers: listen, operators: listen, peers: listen, store: { endpoints: ['http://127.0.0.1:1'] } }
  await withFile(JSON.stringify(settings), async file => assert.match((await run('validate', '--settings', file)).err, /keys: missing/))
  await withFile(JSON.stringify({ ...settings, trialWithoutKeys: true }), async file => assert.equal((await run('validate', '--settings', file)).code, 0))
  await withFile(JSON.stringify({ ...settings, keys: { operators: { env: 'NOT_SET' }, peers: { env: 'NOT_SET' } } }), async file => assert.match((await run('validate', '--settings', file)).err, /SETTINGS_NO_KEY/))
})

test('validates documents without connecting to an entry', async () => {
  await withFile('[{"kind":"class","name":"a","rank":0,"floor":2}]', async file => {
    const { code, err } = await run('validate', '-f', file)
    assert.equal(code, 1)
    assert.match(err, /floor/)
  })
})
