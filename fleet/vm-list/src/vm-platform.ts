import { request } from 'undici'
import { z } from 'zod'
import { err, ok, untilAborted, withTimeout, type Result } from '@wisteriaslip/core.result'

const CALL_TIMEOUT_MS = 2_000

const vmListSchema = z.object({
  vms: z.array(z.object({
    name: z.string(),
    state: z.enum(['live', 'leaving', 'gone']),
    bootId: z.string()
  })).max(100_000)
})

/** A VM in the platform's list. */
export type ListedVm = z.infer<typeof vmListSchema>['vms'][number]

/** Failure of a call to the platform's VM interface. */
export interface VmPlatformError {
  readonly kind: 'platform-unavailable'
  readonly code: 'VM_PLATFORM_UNAVAILABLE'
  readonly message: string
}

/** The platform's VM interface. */
export interface VmPlatform {
  /**
   * Lists the VMs. The list lags behind their actual state.
   * @param signal - cancels the call
   * @returns the listed VMs, or why there is no list
   */
  list (signal: AbortSignal): Promise<Result<readonly ListedVm[], VmPlatformError>>
  /**
   * Requests a reboot. Repeating a request with the same id has no further effect.
   * @param vm - name of the VM
   * @param requestId - id of this reboot
   * @param signal - cancels the call
   * @returns nothing once the platform has accepted the request, or why the call failed
   */
  reboot (vm: string, requestId: string, signal: AbortSignal): Promise<Result<void, VmPlatformError>>
}

/** {@link VmPlatform} over HTTP: `GET /vms` and `POST /vms/NAME/reboot`. */
export class HttpVmPlatform implements VmPlatform {
  private readonly url: string

  /** @param url - base URL of the platform */
  constructor (url: string) {
    this.url = url.replace(/\/$/, '')
  }

  async list (signal: AbortSignal): Promise<Result<readonly ListedVm[], VmPlatformError>> {
    try {
      return await withTimeout(CALL_TIMEOUT_MS, signal, async callSignal => await this.fetchList(callSignal))
    } catch (error) {
      return err(unavailable(String(error)))
    }
  }

  async reboot (vm: string, requestId: string, signal: AbortSignal): Promise<Result<void, VmPlatformError>> {
    try {
      return await withTimeout(CALL_TIMEOUT_MS, signal, async callSignal => await this.postReboot(vm, requestId, callSignal))
    } catch (error) {
      return err(unavailable(String(error)))
    }
  }

  private async fetchList (signal: AbortSignal): Promise<Result<readonly ListedVm[], VmPlatformError>> {
    const res = await untilAborted(signal, request(`${this.url}/vms`, { signal }))
    const body: unknown = await res.body.json()
    const parsed = vmListSchema.safeParse(body)
    if (res.statusCode !== 200 || !parsed.success) return err(unavailable(`unusable VM list (HTTP status ${res.statusCode})`))
    return ok(parsed.data.vms)
  }

  private async postReboot (vm: string, requestId: string, signal: AbortSignal): Promise<Result<void, VmPlatformError>> {
    const res = await untilAborted(signal, request(`${this.url}/vms/${encodeURIComponent(vm)}/reboot`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ requestId }),
      signal
    }))
    await res.body.dump()
    return res.statusCode < 300 ? ok(undefined) : err(unavailable(`reboot request failed with HTTP status ${res.statusCode}`))
  }
}

function unavailable (message: string): VmPlatformError {
  return { kind: 'platform-unavailable', code: 'VM_PLATFORM_UNAVAILABLE', message }
}
