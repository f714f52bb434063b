import { readFile } from 'node:fs/promises'
import { request } from 'undici'
import { err, ok, type Result } from '@wisteriaslip/core.result'
import { exitCodes, printError, type ExitCode, type Flags } from './command.ts'

const REQUEST_TIMEOUT_MS = 10_000
const DEFAULT_BASE_URL = 'http://127.0.0.1:7081'

/** An error returned by an entry, or a failure to reach it. */
export interface OperatorError {
  readonly code: string
  readonly message: string
  readonly hint: string
  readonly exitCode: ExitCode
}

/** Client of the operator API of one entry. */
export class OperatorClient {
  private readonly baseUrl: string
  private readonly key: string | undefined

  private constructor (baseUrl: string, key: string | undefined) {
    this.baseUrl = baseUrl
    this.key = key
  }

  /**
   * Creates a client from the command's flags.
   * @param flags - `--entry` and `--key-file`; they default to the environment variables WISTERIASLIP_ENTRY and
   * WISTERIASLIP_KEY
   * @returns the client
   * @throws when the key file cannot be read
   */
  static async from (flags: Flags): Promise<OperatorClient> {
    const baseUrl = String(flags.entry ?? process.env.WISTERIASLIP_ENTRY ?? DEFAULT_BASE_URL).replace(/\/$/, '')
    const file = flags.keyFile
    const key = typeof file === 'string' ? (await readFile(file, 'utf8')).trim() : process.env.WISTERIASLIP_KEY
    return new OperatorClient(baseUrl, key)
  }

  /**
   * Sends a GET request.
   * @param path - path and query
   * @returns the response body, or the error
   */
  async get<T> (path: string): Promise<Result<T, OperatorError>> {
    return await this.sendRequest<T>('GET', path, undefined)
  }

  /**
   * Sends a POST request.
   * @param path - path and query
   * @param body - value to send as JSON
   * @returns the response body, or the error
   */
  async post<T> (path: string, body: unknown): Promise<Result<T, OperatorError>> {
    return await this.sendRequest<T>('POST', path, JSON.stringify(body))
  }

  /**
   * Sends a DELETE request.
   * @param path - path of the resource to delete
   * @returns the response body, or the error
   */
  async delete<T> (path: string): Promise<Result<T, OperatorError>> {
    return await this.sendRequest<T>('DELETE', path, undefined)
  }

  private async sendRequest<T> (method: 'GET' | 'POST' | 'DELETE', path: string, body: string | undefined): Promise<Result<T, OperatorError>> {
    try {
      const res = await request(`${this.baseUrl}${path}`, {
        method,
        headers: this.key === undefined ? {} : { authorization: `Bearer ${this.key}` },
        ...(body === undefined ? {} : { body }),
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS)
      })
      const responseBody = await res.body.json()
      if (res.statusCode === 200 || res.statusCode === 202) return ok(responseBody as T)
      const exitCode = res.statusCode >= 500 ? exitCodes.unavailable : exitCodes.refused
      return err({ ...(responseBody as Omit<OperatorError, 'exitCode'>), exitCode })
    } catch (error) {
      return err({ code: 'ENTRY_UNREACHABLE', message: `${this.baseUrl}: ${(error as Error).message}`, hint: 'Check --entry, or try another entry.', exitCode: exitCodes.unavailable })
    }
  }
}

/**
 * Prints the error of a request.
 * @param error - error to print
 * @returns the exit code that corresponds to the error
 */
export function printOperatorError (error: OperatorError): ExitCode {
  printError(error)
  return error.exitCode
}
