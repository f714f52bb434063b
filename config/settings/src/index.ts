/**
 * Settings of an entry, read from a JSON file once at startup.
 * @module
 */
export { readSettings, type AccessKeys, type SettingsError } from './read.ts'
export { settingsSchema, type Address, type Settings } from './schema.ts'
export { formatIssues } from './issues.ts'
