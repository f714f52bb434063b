/** Resource whose single leader manages VMs, pools and waves. */
export const fleetResource = 'fleet'

const SERVICE_PREFIX = 'service/'

/**
 * @param service - name of a service
 * @returns the resource whose leader leads the service
 */
export function serviceResource (service: string): string {
  return SERVICE_PREFIX + service
}

/**
 * @param resource - name of a resource
 * @returns the name of the service, undefined for other resources
 */
export function serviceFromResource (resource: string): string | undefined {
  return resource.startsWith(SERVICE_PREFIX) ? resource.slice(SERVICE_PREFIX.length) : undefined
}
