/** Collects chunks in one block of memory, as many small ones take several times their size. */

const MIN_CAPACITY_BYTES = 1_024;

export class ByteBuffer {
  private block = Buffer.alloc(0);
  private used = 0;

  get length(): number {
    return this.used;
  }

  /** The last byte; undefined if there is none. */
  get last(): number | undefined {
    return this.block[this.used - 1];
  }

  append(chunk: Uint8Array): void {
    this.reserve(this.used + chunk.length);
    this.block.set(chunk, this.used);
    this.used += chunk.length;
  }

  /** Returns all bytes and leaves none. */
  take(): Uint8Array {
    const bytes = this.block.subarray(0, this.used);
    this.block = Buffer.alloc(0);
    this.used = 0;
    return bytes;
  }

  private reserve(bytes: number): void {
    if (bytes <= this.block.length) return;
    const capacity = Math.max(bytes, 2 * this.block.length, MIN_CAPACITY_BYTES);
    const block = Buffer.allocUnsafeSlow(capacity);
    this.block.copy(block, 0, 0, this.used);
    this.block = block;
  }
}
