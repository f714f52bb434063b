/**
 * A complete site on loopback: stand-ins in this process, entries as separate processes.
 * @module
 */
export { Site, type SiteEntry, type SiteOpts } from './site.ts'
export { createSiteDocuments } from './documents.ts'
export { seededRandom } from './random.ts'
export { runCallers, type TrafficOpts } from './traffic.ts'
export { sendRequest, type CallerReply } from './caller.ts'
