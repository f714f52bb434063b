import { readFile } from 'node:fs/promises'
import { err, ok, type Result } from '@wisteriaslip/core.result'

/** Error for a document file that cannot be read or parsed. */
export interface DocumentFileError {
  readonly code: 'FILE_UNREADABLE' | 'FILE_MISSING'
  readonly message: string
  readonly hint: string
}

/**
 * Reads documents from JSON files. Each file holds one document or an array of documents.
 * @param files - paths of the files; anything other than an array counts as no files
 * @returns the documents in file order, not yet validated, or the error of the first unreadable file
 */
export async function readDocuments (files: unknown): Promise<Result<unknown[], DocumentFileError>> {
  const paths = Array.isArray(files) ? files as string[] : []
  const documents: unknown[] = []
  for (const path of paths) {
    try {
      const parsed: unknown = JSON.parse(await readFile(path, 'utf8'))
      documents.push(...(Array.isArray(parsed) ? parsed : [parsed]))
    } catch (error) {
      return err({ code: 'FILE_UNREADABLE', message: `${path}: ${(error as Error).message}`, hint: 'The file must exist and contain valid JSON.' })
    }
  }
  return ok(documents)
}
