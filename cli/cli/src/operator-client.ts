import { readFile } from 'node:fs/promises'
import { request } from 'undici'
import { err, ok, type Result } from '@wisteriaslip/core.result'
import { exitCodes, printError, type ExitCode, type Flags } from './command.ts'

const CALL_TIMEOUT_MS = 10_000
const DEFAULT_ENTRY = 'http://127.0.0.1:7081'

/** An error that an entry answered, or that it could not be reached. */
export interface OperatorError {
  readonly code: string
  readonly message: string
  readonly hint: string
  readonly exitCode: ExitCode
}

/** Calls the operators' interface of one entry. */
export class OperatorClient {
  private readonly entry: string
  private readonly key: string | undefined

  private constructor (entry: string, key: string | undefined) {
    this.entry = entry
    this.key = key
  }

  /**
   * @param flags - `--entry` and `--key-file`; the environment variables WISTERIASLIP_ENTRY and WISTERIASLIP_KEY stand in for them
   * @returns a client
   */
  static async from (flags: Flags): Promise<OperatorClient> {
    const entry = String(flags.entry ?? process.env.WISTERIASLIP_ENTRY ?? DEFAULT_ENTRY).replace(/\/$/, '')
    const file = flags.keyFile
    const key = typeof file === 'string' ? (await readFile(file, 'utf8')).trim() : process.env.WISTERIASLIP_KEY
    return new OperatorClient(entry, key)
  }

  /**
   * @param path - with its query
   * @returns the answer's body
   */
  async get<T> (path: string): Promise<Result<T, OperatorError>> {
    return await this.call<T>('GET', path, undefined)
  }

  /**
   * @param path - with its query
   * @param body - to send as JSON
   * @returns the answer's body
   */
  async post<T> (path: string, body: unknown): Promise<Result<T, OperatorError>> {
    return await this.call<T>('POST', path, JSON.stringify(body))
  }

  /**
   * @param path - of what is to go
   * @returns the answer's body
   */
  async delete<T> (path: string): Promise<Result<T, OperatorError>> {
    return await this.call<T>('DELETE', path, undefined)
  }

  private async call<T> (method: 'GET' | 'POST' | 'DELETE', path: string, body: string | undefined): Promise<Result<T, OperatorError>> {
    try {
      const res = await request(`${this.entry}${path}`, {
        method,
        headers: this.key === undefined ? {} : { authorization: `Bearer ${this.key}` },
        ...(body === undefined ? {} : { body }),
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS)
      })
      const answer = await res.body.json()
      if (res.statusCode === 200 || res.statusCode === 202) return ok(answer as T)
      const exitCode = res.statusCode >= 500 ? exitCodes.unavailable : exitCodes.refused
      return err({ ...(answer as Omit<OperatorError, 'exitCode'>), exitCode })
    } catch (error) {
      return err({ code: 'ENTRY_UNREACHABLE', message: `${this.entry}: ${(error as Error).message}`, hint: 'Check --entry, or try another entry.', exitCode: exitCodes.unavailable })
    }
  }
}

/**
 * Prints an error of a call.
 * @param error - of the call
 * @returns the exit code that fits
 */
export function fail (error: OperatorError): ExitCode {
  printError(error)
  return error.exitCode
}
