import { readFile } from 'node:fs/promises'
import { err, ok, type Result } from '@wisteriaslip/core.result'
import { formatIssues } from './issues.ts'
import { settingsSchema, type Settings } from './schema.ts'

/** Reason why settings could not be loaded. */
export type SettingsError =
  | { readonly kind: 'unreadable', readonly code: 'SETTINGS_UNREADABLE', readonly message: string, readonly hint: string }
  | { readonly kind: 'invalid', readonly code: 'SETTINGS_INVALID', readonly message: string, readonly hint: string }
  | { readonly kind: 'no-key', readonly code: 'SETTINGS_NO_KEY', readonly message: string, readonly hint: string }

/** Shared keys that authenticate operators and peers. */
export interface AccessKeys {
  readonly operators: string
  readonly peers: string
}

/**
 * Reads and validates a settings file, and loads the keys that it refers to.
 * @param file - path of the JSON file
 * @param env - environment variables, for keys that are given by variable
 * @returns settings and keys; keys are undefined when the settings name none (`trialWithoutKeys`)
 */
export async function readSettings (file: string, env: NodeJS.ProcessEnv = process.env): Promise<Result<{ settings: Settings, keys: AccessKeys | undefined }, SettingsError>> {
  const text = await readText(file)
  if (!text.ok) return text
  const json = parseJson(text.value)
  if (!json.ok) return json
  const parsed = settingsSchema.safeParse(json.value)
  if (!parsed.success) {
    return err(invalidSettings(formatIssues(parsed.error.issues, json.value).join('\n')))
  }
  const settings = parsed.data
  if (settings.keys === undefined) return ok({ settings, keys: undefined })
  const operators = await readKey(settings.keys.operators, env)
  if (!operators.ok) return operators
  const peers = await readKey(settings.keys.peers, env)
  if (!peers.ok) return peers
  return ok({ settings, keys: { operators: operators.value, peers: peers.value } })
}

async function readText (file: string): Promise<Result<string, SettingsError>> {
  try {
    return ok(await readFile(file, 'utf8'))
  } catch (error) {
    return err({ kind: 'unreadable', code: 'SETTINGS_UNREADABLE', message: `cannot read ${file}: ${(error as Error).message}`, hint: 'Check the path and its permissions.' })
  }
}

function parseJson (text: string): Result<unknown, SettingsError> {
  try {
    return ok(JSON.parse(text))
  } catch (error) {
    return err(invalidSettings(`invalid JSON: ${(error as Error).message}`))
  }
}

async function readKey (source: { file: string } | { env: string }, env: NodeJS.ProcessEnv): Promise<Result<string, SettingsError>> {
  const text = 'env' in source ? ok(env[source.env] ?? '') : await readText(source.file)
  if (!text.ok) return text
  const key = text.value.trim()
  if (key.length >= MIN_KEY_CHARS) return ok(key)
  const where = 'env' in source ? `variable ${source.env}` : source.file
  return err({ kind: 'no-key', code: 'SETTINGS_NO_KEY', message: `key in ${where} is missing or too short`, hint: `Use at least ${MIN_KEY_CHARS} characters.` })
}

const MIN_KEY_CHARS = 16

function invalidSettings (message: string): SettingsError {
  return { kind: 'invalid', code: 'SETTINGS_INVALID', message, hint: 'See docs/OPERATORS.md for each setting.' }
}
