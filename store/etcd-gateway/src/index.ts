/**
 * Store driver for the etcd v3 JSON gateway.
 * @module
 */
export { EtcdGateway } from './gateway.ts'
