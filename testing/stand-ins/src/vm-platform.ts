import { createServer, type Server } from 'node:http'

interface Vm { state: 'live' | 'leaving' | 'gone', boot: number }

/** Stand-in for the platform's VM list, which lags, and its reboot call. */
export class VmPlatformStandIn {
  readonly server: Server
  readonly reboots: string[] = []
  private readonly vms = new Map<string, Vm>()
  private readonly requests = new Set<string>()
  private listed: unknown[] = []
  private readonly rebootMs: number
  private readonly onReboot: (vm: string, down: boolean) => void

  /** @param opts - how long a reboot takes, how much the list lags, and who is told of reboots */
  constructor (names: readonly string[], opts: { rebootMs: number, lagMs: number, onReboot?: (vm: string, down: boolean) => void }) {
    for (const name of names) this.vms.set(name, { state: 'live', boot: 1 })
    this.rebootMs = opts.rebootMs
    this.onReboot = opts.onReboot ?? (() => {})
    this.listed = this.list()
    setInterval(() => {
      const now = this.list()
      setTimeout(() => { this.listed = now }, opts.lagMs).unref()
    }, 100).unref()
    this.server = createServer((req, res) => {
      const match = /^\/vms\/([^/]+)\/reboot$/.exec(req.url ?? '')
      if (match?.[1] === undefined) {
        res.writeHead(200, { 'content-type': 'application/json' })
        res.end(JSON.stringify({ vms: this.listed }))
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

  /** Sets the state that the list will show after its lag. */
  set (name: string, state: Vm['state']): void {
    const vm = this.vms.get(name)
    if (vm !== undefined) vm.state = state
  }

  private reboot (name: string, requestId: string): void {
    const vm = this.vms.get(name)
    if (vm === undefined || this.requests.has(requestId)) return
    this.requests.add(requestId)
    this.reboots.push(name)
    vm.state = 'gone'
    this.onReboot(name, true)
    setTimeout(() => {
      vm.state = 'live'
      vm.boot += 1
      this.onReboot(name, false)
    }, this.rebootMs).unref()
  }

  private list (): unknown[] {
    return [...this.vms].map(([name, vm]) => ({ name, state: vm.state, bootId: `${name}-${vm.boot}` }))
  }
}
