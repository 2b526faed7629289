/** A limit on memory that several holders share. */

/** Counts the bytes that are held at a time, and refuses more than the limit. */
export class MemoryBudget {
  private heldBytes = 0;

  constructor(private readonly limitBytes: number) {}

  /** Takes this many bytes, to be given back by `release`; false, and none, if too few are left. */
  reserve(byteCount: number): boolean {
    if (this.heldBytes + byteCount > this.limitBytes) return false;
    this.heldBytes += byteCount;
    return true;
  }

  /** Gives bytes back that were reserved. */
  release(byteCount: number): void {
    this.heldBytes -= byteCount;
  }
}
