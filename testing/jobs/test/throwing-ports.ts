/** Calls of a term to what it depends on; each can throw once. */
export const throwingCalls = ['vms', 'registeredWorkers', 'store.update', 'store.get', 'store.watch', 'records.startTerm', 'records.writeTerm', 'records.term', 'records.readAll', 'records.job', 'permits.requestPermits', 'worker.start', 'worker.stop', 'worker.poll', 'worker.setSpeed'] as const

export type ThrowingCall = typeof throwingCalls[number]

/** What a term depends on; its next call throws once it is told to. */
export class ThrowingPorts {
  /** How often an error was thrown. */
  thrown = 0
  private readonly armed = new Set<string>()

  /** Lets the next call of a kind throw. */
  arm (call: ThrowingCall): void {
    this.armed.add(call)
  }

  /**
   * @param call - name of a call
   * @throws if it was told to
   */
  check (call: string): void {
    if (!this.armed.delete(call)) return
    this.thrown += 1
    throw new TypeError(`unexpected error in ${call}`)
  }

  /**
   * @param name - name of the port
   * @param port - object with asynchronous methods
   * @returns the same object, whose methods reject when they are told to
   */
  wrap<T extends object> (name: string, port: T): T {
    return new Proxy(port, {
      get: (target, key) => {
        const value: unknown = Reflect.get(target, key)
        if (typeof value !== 'function') return value
        const method = value.bind(target) as (...args: unknown[]) => unknown
        if (!(throwingCalls as readonly string[]).includes(`${name}.${String(key)}`)) return method
        return async (...args: unknown[]) => {
          this.check(`${name}.${String(key)}`)
          return await method(...args)
        }
      }
    })
  }
}
