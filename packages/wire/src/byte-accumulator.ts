/** Collects bytes that arrive in pieces. */

/**
 * Bytes that have arrived in pieces of any size, as one buffer. The buffer grows to twice its size
 * when it is full, so its memory is at most twice that of the bytes, and adding them takes linear
 * time, however small the pieces are: a list of single bytes would take a hundred times as much.
 */
export class ByteAccumulator {
  private buffer: Buffer = Buffer.alloc(0);
  private byteCount = 0;

  /** Number of bytes. */
  get length(): number {
    return this.byteCount;
  }

  /** Adds a copy of these bytes at the end. */
  append(piece: Uint8Array): void {
    const needed = this.byteCount + piece.length;
    if (needed > this.buffer.length) this.grow(needed);
    this.buffer.set(piece, this.byteCount);
    this.byteCount = needed;
  }

  /** The bytes; valid until the next call of `append` or `dropFirst`. */
  bytes(): Buffer {
    return this.buffer.subarray(0, this.byteCount);
  }

  /** Removes the first bytes, and releases the memory when none is left. */
  dropFirst(dropCount: number): void {
    if (dropCount === 0) return;
    this.buffer.copyWithin(0, dropCount, this.byteCount);
    this.byteCount -= dropCount;
    if (this.byteCount === 0) this.buffer = Buffer.alloc(0);
  }

  private grow(needed: number): void {
    const larger = Buffer.allocUnsafeSlow(Math.max(needed, 2 * this.buffer.length));
    larger.set(this.bytes());
    this.buffer = larger;
  }
}
