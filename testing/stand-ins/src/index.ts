/**
 * Small stand-ins for external systems, used by tests, benchmarks and the demo.
 * @module
 */
export { StoreStandIn, type StoreFaults } from './store.ts'
export { ExecutorStandIn, type ExecutorStart } from './executor.ts'
export { VmPlatformStandIn } from './vm-platform.ts'
export { startProcess, type StartedProcess } from './process.ts'
export { DeafListener } from './deaf-listener.ts'
export { freePorts } from './ports.ts'
export { MemoryDriver, type DriverFault } from './memory-driver.ts'
export { MemoryItems } from './memory-items.ts'
export { ManualClock } from './manual-clock.ts'
export { TcpProxy } from './tcp-proxy.ts'
