/**
 * Store driver for the etcd v3 JSON gateway.
 * @module
 */
export { EtcdDriver } from './driver.ts'
