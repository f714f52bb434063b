/**
 * Client of the platform's VM interface: the list of live and leaving VMs, which lags behind their actual state, and
 * the reboot request.
 * @module
 */
export { HttpVmPlatform, type VmPlatform, type VmPlatformError, type ListedVm } from './vm-platform.ts'
