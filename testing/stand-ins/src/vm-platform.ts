import { createServer, type Server } from 'node:http'

interface Vm { state: 'live' | 'leaving' | 'gone', bootCount: number }

/** Stand-in for the VM platform: a VM list that lags behind the state of the VMs, and a reboot call. */
export class VmPlatformStandIn {
  readonly server: Server
  readonly reboots: string[] = []
  private readonly vms = new Map<string, Vm>()
  private readonly handledRequestIds = new Set<string>()
  private listedVms: unknown[] = []
  private readonly rebootMs: number
  private readonly onReboot: (vm: string, down: boolean) => void

  /**
   * @param names - names of the VMs
   * @param opts - duration of a reboot and lag of the list in milliseconds; callback for VMs that go down or come up
   */
  constructor (names: readonly string[], opts: { rebootMs: number, lagMs: number, onReboot?: (vm: string, down: boolean) => void }) {
    for (const name of names) this.vms.set(name, { state: 'live', bootCount: 1 })
    this.rebootMs = opts.rebootMs
    this.onReboot = opts.onReboot ?? (() => {})
    this.listedVms = this.snapshotVms()
    setInterval(() => {
      const snapshot = this.snapshotVms()
      setTimeout(() => { this.listedVms = snapshot }, opts.lagMs).unref()
    }, 100).unref()
    this.server = createServer((req, res) => {
      const match = /^\/vms\/([^/]+)\/reboot$/.exec(req.url ?? '')
      if (match?.[1] === undefined) {
        res.writeHead(200, { 'content-type': 'application/json' })
        res.end(JSON.stringify({ vms: this.listedVms }))
        return
      }
      const vm = decodeURIComponent(match[1])
      let text = ''
      req.on('data', chunk => { text += String(chunk) })
      req.on('end', () => {
        this.reboot(vm, (JSON.parse(text) as { requestId: string }).requestId)
        res.writeHead(202, { 'content-length': '0' })
        res.end()
      })
    })
  }

  /**
   * Sets the state of a VM; the list shows it after its lag.
   * @param name - name of the VM
   * @param state - new state
   */
  setState (name: string, state: Vm['state']): void {
    const vm = this.vms.get(name)
    if (vm !== undefined) vm.state = state
  }

  private reboot (name: string, requestId: string): void {
    const vm = this.vms.get(name)
    if (vm === undefined || this.handledRequestIds.has(requestId)) return
    this.handledRequestIds.add(requestId)
    this.reboots.push(name)
    vm.state = 'gone'
    this.onReboot(name, true)
    setTimeout(() => {
      vm.state = 'live'
      vm.bootCount += 1
      this.onReboot(name, false)
    }, this.rebootMs).unref()
  }

  private snapshotVms (): unknown[] {
    return [...this.vms].map(([name, vm]) => ({ name, state: vm.state, bootId: `${name}-${vm.bootCount}` }))
  }
}
