/**
 * Client of the platform's list of live and leaving VMs, which lags, and of its reboot call.
 * @module
 */
export { HttpVmPlatform, type VmPlatform, type VmPlatformError, type ListedVm } from './vm-platform.ts'
