/**
 * A whole site on loopback: stand-ins in this process, entries as processes of their own.
 * @module
 */
export { Site, type SiteEntry, type SiteOpts } from './site.ts'
export { siteDocuments } from './documents.ts'
export { randomFrom } from './random.ts'
export { runCallers, type TrafficOpts } from './traffic.ts'
export { callOnce, type CallerReply } from './caller.ts'
