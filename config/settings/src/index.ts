/**
 * Settings of an entry: read once at start, from a JSON file.
 * @module
 */
export { readSettings, type Keys, type SettingsError } from './read.ts'
export { settingsSchema, type Address, type Settings } from './schema.ts'
export { formatIssues } from './issues.ts'
