import { readFile } from 'node:fs/promises'
import { err, ok, type Result } from '@wisteriaslip/core.result'

/** Why a file of documents could not be read. */
export interface DocumentFileError {
  readonly code: 'FILE_UNREADABLE' | 'FILE_MISSING'
  readonly message: string
  readonly hint: string
}

/**
 * Reads documents from files, each with one document or a list.
 * @param files - paths
 * @returns all documents, unchecked
 */
export async function readDocuments (files: unknown): Promise<Result<unknown[], DocumentFileError>> {
  const paths = Array.isArray(files) ? files as string[] : []
  const documents: unknown[] = []
  for (const path of paths) {
    try {
      const parsed: unknown = JSON.parse(await readFile(path, 'utf8'))
      documents.push(...(Array.isArray(parsed) ? parsed : [parsed]))
    } catch (error) {
      return err({ code: 'FILE_UNREADABLE', message: `${path}: ${(error as Error).message}`, hint: 'The file must exist and hold JSON.' })
    }
  }
  return ok(documents)
}
