import { request } from 'undici'
import { z } from 'zod'
import { err, ok, withTimeout, type Result } from '@wisteriaslip/core.result'

const CALL_TIMEOUT_MS = 2_000

const sightingsSchema = z.object({
  vms: z.array(z.object({
    name: z.string(),
    state: z.enum(['live', 'leaving', 'gone']),
    bootId: z.string()
  })).max(100_000)
})

/** A VM as the platform last listed it. */
export type ListedVm = z.infer<typeof sightingsSchema>['vms'][number]

/** Errors of the platform's VM interface. */
export interface VmPlatformError {
  readonly kind: 'platform-unavailable'
  readonly code: 'VM_PLATFORM_UNAVAILABLE'
  readonly message: string
}

/** What the platform does for VMs. */
export interface VmPlatform {
  /** @returns the VMs as of some time ago */
  list (signal: AbortSignal): Promise<Result<readonly ListedVm[], VmPlatformError>>
  /**
   * Asks for a reboot. Asking again with the same request id has no further effect.
   * @param vm - name of the VM
   * @param requestId - id of this reboot
   */
  reboot (vm: string, requestId: string, signal: AbortSignal): Promise<Result<void, VmPlatformError>>
}

/** The platform's VM interface over HTTP: `GET /vms` and `POST /vms/NAME/reboot`. */
export class HttpVmPlatform implements VmPlatform {
  private readonly url: string

  /** @param url - base URL */
  constructor (url: string) {
    this.url = url.replace(/\/$/, '')
  }

  async list (signal: AbortSignal): Promise<Result<readonly ListedVm[], VmPlatformError>> {
    try {
      return await withTimeout(CALL_TIMEOUT_MS, signal, async inner => await this.fetchList(inner))
    } catch (error) {
      return err(unavailable(String(error)))
    }
  }

  async reboot (vm: string, requestId: string, signal: AbortSignal): Promise<Result<void, VmPlatformError>> {
    try {
      return await withTimeout(CALL_TIMEOUT_MS, signal, async inner => await this.postReboot(vm, requestId, inner))
    } catch (error) {
      return err(unavailable(String(error)))
    }
  }

  private async fetchList (signal: AbortSignal): Promise<Result<readonly ListedVm[], VmPlatformError>> {
    const res = await request(`${this.url}/vms`, { signal })
    const body: unknown = await res.body.json()
    const parsed = sightingsSchema.safeParse(body)
    if (res.statusCode !== 200 || !parsed.success) return err(unavailable(`status ${res.statusCode} or a list that is not readable`))
    return ok(parsed.data.vms)
  }

  private async postReboot (vm: string, requestId: string, signal: AbortSignal): Promise<Result<void, VmPlatformError>> {
    const res = await request(`${this.url}/vms/${encodeURIComponent(vm)}/reboot`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ requestId }),
      signal
    })
    await res.body.dump()
    return res.statusCode < 300 ? ok(undefined) : err(unavailable(`status ${res.statusCode}`))
  }
}

function unavailable (message: string): VmPlatformError {
  return { kind: 'platform-unavailable', code: 'VM_PLATFORM_UNAVAILABLE', message }
}
