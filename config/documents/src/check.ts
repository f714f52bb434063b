import { err, ok, type Result } from '@wisteriaslip/core.result'
import { formatIssues } from '@wisteriaslip/config.settings'
import { FleetConfig } from './fleet-config.ts'
import { documentSchema, type Document } from './schema.ts'
import { matchesSelector } from './selector.ts'

/** Error that lists why documents were rejected. */
export interface DocumentError {
  readonly kind: 'invalid-document'
  readonly code: 'DOCUMENT_INVALID'
  readonly message: string
  readonly hint: string
}

/**
 * Validates one document against the schema.
 * @param input - parsed JSON
 * @returns the document with defaults filled in, or an error that lists all schema violations
 */
export function parseDocument (input: unknown): Result<Document, DocumentError> {
  const parsed = documentSchema.safeParse(input)
  if (parsed.success) return ok(parsed.data)
  return err(invalidDocument(`${describeInput(input)}: ${formatIssues(parsed.error.issues, input).join('; ')}`))
}

/**
 * @param value - a stored document
 * @returns whether it can be in effect; one that a later version wrote may have more fields
 */
export function isUsableDocument (value: unknown): value is Document {
  const parsed = documentSchema.safeParse(value)
  return parsed.success || parsed.error.issues.every(issue => issue.code === 'unrecognized_keys')
}

/**
 * Checks the constraints between documents, such as references, address conflicts and the sum of floors.
 * @param documents - the whole configuration that would result
 * @returns nothing, or an error that lists all problems
 */
export function checkDocuments (documents: readonly Document[]): Result<void, DocumentError> {
  const config = new FleetConfig(documents)
  const problems = [
    ...config.workloads.flatMap(workload => checkWorkload(config, workload)),
    ...checkFloors(config),
    ...checkTenants(config),
    ...checkAddresses(config)
  ]
  return problems.length === 0 ? ok(undefined) : err(invalidDocument(problems.join('\n')))
}

function checkWorkload (config: FleetConfig, workload: FleetConfig['workloads'][number]): string[] {
  const problems: string[] = []
  const pools = config.pools.filter(pool => matchesSelector(workload.poolSelector, pool.labels))
  if (pools.length !== 1) {
    problems.push(`workload ${workload.name}: poolSelector matches ${pools.length} pools (${pools.map(pool => pool.name).join(', ')}); it must match exactly one`)
  }
  for (const className of [workload.class, ...workload.otherClasses]) {
    if (config.classes.get(className) === undefined) problems.push(`workload ${workload.name}: class ${className} does not exist; apply it first or in the same call`)
  }
  if (workload.maxRunMs > workload.deadlineMs) problems.push(`workload ${workload.name}: maxRunMs ${workload.maxRunMs} is longer than deadlineMs ${workload.deadlineMs}`)
  return problems
}

function checkFloors (config: FleetConfig): string[] {
  const total = [...config.classes.values()].reduce((sum, each) => sum + each.floor, 0)
  return total > 1 + 1e-9 ? [`classes: floors add up to ${total}; the sum must not exceed 1`] : []
}

function checkTenants (config: FleetConfig): string[] {
  const keyless = config.tenants.filter(tenant => tenant.keySha256 === undefined)
  return keyless.length > 1 ? [`tenants: ${keyless.map(tenant => tenant.name).join(', ')} have no key; at most one may omit keySha256`] : []
}

function checkAddresses (config: FleetConfig): string[] {
  const byAddress = new Map<string, string>()
  const problems: string[] = []
  for (const vm of config.vms.values()) {
    const address = `${vm.address.host}:${vm.address.port}`
    const other = byAddress.get(address)
    if (other !== undefined) problems.push(`vm ${vm.name}: address ${address} is also that of ${other}`)
    byAddress.set(address, vm.name)
  }
  return problems
}

function describeInput (input: unknown): string {
  const candidate = input as { kind?: unknown, name?: unknown } | null
  return `${String(candidate?.kind ?? 'document')} ${String(candidate?.name ?? 'without a name')}`
}

function invalidDocument (message: string): DocumentError {
  return { kind: 'invalid-document', code: 'DOCUMENT_INVALID', message, hint: 'Correct the document and apply it again; nothing was written.' }
}
