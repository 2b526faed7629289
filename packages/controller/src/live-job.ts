import type { Instant, JobSpec } from '@tealdock/wire';
import { CHUNK_TASKS, type ChunkValue } from './keys.js';
import type { Binding } from './machine.js';

/** A task that has opened its window. */
export interface OpenTask {
  index: number;
  opened: Instant;
}

/** Tasks of one job with an open window at a time; the rest costs no memory. */
const MOST_OPEN = 256;

/** An accepted job that has not ended, as the leader sees it. */
export class LiveJob {
  readonly open = new Map<number, OpenTask>();
  readonly bound = new Map<number, Binding>();
  /** Done, but not yet committed. */
  readonly uncommitted = new Set<number>();
  readonly storedChunks = new Set<number>();
  doneCount = 0;
  ending = false;
  /** Failures in a row on different machines; a mistaken job fails everywhere. */
  failures = 0;
  backoffUntil: Instant = 0;
  /** First instant of this term at which a task found no room. */
  starvedSince: Instant | null = null;
  shownRunning = 0;
  /** The zone that was found to fit all of a gang that may use only one. */
  gangZone: string | null = null;
  private readonly bits: Uint8Array;
  private readonly returned: number[] = [];
  private readonly attempts = new Map<number, number>();
  private next = 0;

  constructor(
    readonly spec: JobSpec,
    readonly version: number,
    /** Submission, on this process's steady clock. */
    readonly submitted: Instant,
  ) {
    this.bits = new Uint8Array(Math.ceil(spec.taskCount / 8));
  }

  get id(): string {
    return this.spec.id;
  }

  get complete(): boolean {
    return this.doneCount === this.spec.taskCount;
  }

  /** Tasks neither done nor bound to a machine. */
  get waiting(): number {
    return this.spec.taskCount - this.doneCount - this.bound.size;
  }

  isDone(index: number): boolean {
    return ((this.bits[index >> 3] ?? 0) & (1 << (index & 7))) !== 0;
  }

  markDone(index: number): boolean {
    if (this.isDone(index)) return false;
    this.bits[index >> 3]! |= 1 << (index & 7);
    this.doneCount++;
    this.open.delete(index);
    this.uncommitted.add(index);
    return true;
  }

  loadChunk(chunk: number, value: ChunkValue): void {
    const bytes = Buffer.from(value.bits, 'base64');
    const base = chunk * CHUNK_TASKS;
    for (let i = 0; i < bytes.length * 8 && base + i < this.spec.taskCount; i++) {
      if (bytes[i >> 3]! & (1 << (i & 7)) && this.markDone(base + i))
        this.uncommitted.delete(base + i);
    }
    this.storedChunks.add(chunk);
  }

  chunkValue(chunk: number): ChunkValue {
    const from = (chunk * CHUNK_TASKS) / 8;
    const bytes = this.bits.subarray(from, from + CHUNK_TASKS / 8);
    let done = 0;
    for (const byte of bytes) for (let b = byte; b > 0; b &= b - 1) done++;
    const running = chunk === 0 ? this.running : 0;
    return { done, running, bits: Buffer.from(bytes).toString('base64') };
  }

  get running(): number {
    let count = 0;
    for (const b of this.bound.values()) if (b.phase === 'seen' && b.state !== 'fetching') count++;
    return count;
  }

  chunkOf(index: number): number {
    return Math.floor(index / CHUNK_TASKS);
  }

  dirtyChunks(): number[] {
    return [...new Set([...this.uncommitted].map((i) => this.chunkOf(i)))];
  }

  /** Opens windows for released tasks: independent tasks are released at once. */
  release(now: Instant): void {
    const most = this.spec.kind === 'gang' ? Infinity : MOST_OPEN;
    while (this.open.size < most) {
      const index = this.returned.pop() ?? this.takeNext();
      if (index === undefined) return;
      if (!this.isDone(index) && !this.bound.has(index))
        this.open.set(index, { index, opened: now });
    }
  }

  /** A task that lost its machine goes back to the start of the queue. */
  giveBack(index: number): void {
    if (!this.isDone(index)) this.returned.push(index);
  }

  /** Counts the attempts of this term at one task. */
  nextAttempt(index: number): number {
    const count = (this.attempts.get(index) ?? 0) + 1;
    this.attempts.set(index, count);
    return count;
  }

  private takeNext(): number | undefined {
    return this.next < this.spec.taskCount ? this.next++ : undefined;
  }
}
