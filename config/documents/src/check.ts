import { err, ok, type Result } from '@wisteriaslip/core.result'
import { formatIssues } from '@wisteriaslip/config.settings'
import { FleetConfig } from './fleet-config.ts'
import { documentSchema, type Document } from './schema.ts'
import { matches } from './selector.ts'

/** Why documents were refused. */
export interface DocumentError {
  readonly kind: 'invalid-document'
  readonly code: 'DOCUMENT_INVALID'
  readonly message: string
  readonly hint: string
}

/**
 * Checks one document by its schema.
 * @param input - parsed JSON
 * @returns the document with defaults filled in
 */
export function parseDocument (input: unknown): Result<Document, DocumentError> {
  const parsed = documentSchema.safeParse(input)
  if (parsed.success) return ok(parsed.data)
  return err(invalid(`${nameOf(input)}: ${formatIssues(parsed.error.issues, input).join('; ')}`))
}

/**
 * Checks all documents against each other.
 * @param documents - the whole configuration as it would be
 * @returns nothing, or all that is wrong
 */
export function checkDocuments (documents: readonly Document[]): Result<void, DocumentError> {
  const config = new FleetConfig(documents)
  const problems = [
    ...config.workloads.flatMap(workload => checkWorkload(config, workload)),
    ...checkFloors(config),
    ...checkTenants(config),
    ...checkAddresses(config)
  ]
  return problems.length === 0 ? ok(undefined) : err(invalid(problems.join('\n')))
}

function checkWorkload (config: FleetConfig, workload: FleetConfig['workloads'][number]): string[] {
  const problems: string[] = []
  const pools = config.pools.filter(pool => matches(workload.poolSelector, pool.labels))
  if (pools.length !== 1) {
    problems.push(`workload ${workload.name}: poolSelector matches ${pools.length} pools (${pools.map(pool => pool.name).join(', ')}); it must match one`)
  }
  for (const className of [workload.class, ...workload.otherClasses]) {
    if (config.classes.get(className) === undefined) problems.push(`workload ${workload.name}: class ${className} does not exist; apply it first or in the same call`)
  }
  if (workload.maxRunMs > workload.deadlineMs) problems.push(`workload ${workload.name}: maxRunMs ${workload.maxRunMs} is longer than deadlineMs ${workload.deadlineMs}`)
  return problems
}

function checkFloors (config: FleetConfig): string[] {
  const total = [...config.classes.values()].reduce((sum, each) => sum + each.floor, 0)
  return total > 1 + 1e-9 ? [`classes: floors add up to ${total}; they may add up to 1 at most`] : []
}

function checkTenants (config: FleetConfig): string[] {
  const open = config.tenants.filter(tenant => tenant.keySha256 === undefined)
  return open.length > 1 ? [`tenants: ${open.map(tenant => tenant.name).join(', ')} have no key; only one may`] : []
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

function nameOf (input: unknown): string {
  const candidate = input as { kind?: unknown, name?: unknown } | null
  return `${String(candidate?.kind ?? 'document')} ${String(candidate?.name ?? 'without a name')}`
}

function invalid (message: string): DocumentError {
  return { kind: 'invalid-document', code: 'DOCUMENT_INVALID', message, hint: 'Correct the document and apply it again; nothing was written.' }
}
