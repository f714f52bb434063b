const FIRST_BYTES = 4_096

/** Bytes that come in chunks of any size, joined in few blocks: a block is as large as all before it together. */
export class JoinedBytes {
  private readonly maxBytes: number
  private readonly blocks: Buffer[] = []
  private free = 0
  private capacity = 0

  /** @param maxBytes - no more than this is ever added */
  constructor (maxBytes: number) {
    this.maxBytes = maxBytes
  }

  /** @returns bytes in memory */
  allocated (): number {
    return this.capacity
  }

  /** @param chunk - is copied */
  add (chunk: Buffer): void {
    const last = this.blocks.at(-1)
    const copied = last === undefined ? 0 : chunk.copy(last, last.length - this.free)
    this.free -= copied
    if (copied === chunk.length) return
    const rest = chunk.length - copied
    const block = Buffer.allocUnsafeSlow(Math.min(this.maxBytes - this.capacity, Math.max(rest, this.capacity, FIRST_BYTES)))
    this.blocks.push(block)
    this.capacity += block.length
    this.free = block.length - chunk.copy(block, 0, copied)
  }

  /** @returns all bytes */
  join (): Buffer {
    return Buffer.concat(this.blocks, this.capacity - this.free)
  }
}
