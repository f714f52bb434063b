/**
 * Crowds of clients that nobody controls, and the processes that they press.
 * @module
 */
export { bounds, crowds, singleTinyChunkBody, withstand } from './withstand.ts'
export { startGateway, startJobInterface, startPlatformEntry, type CrowdTarget } from './targets.ts'
