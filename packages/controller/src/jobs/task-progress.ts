/** Completion of a job's tasks, in the form in which the state service stores it. */
import { CHUNK_TASK_COUNT } from '../state/keys.js';

const BITS_PER_BYTE = 8;

/**
 * One bit per task, set once the task is done. The bits are stored in chunks of CHUNK_TASK_COUNT,
 * each as a base64 string. A task is committed once its chunk has been stored with its bit set.
 */
export class TaskProgress {
  private readonly doneBits: Uint8Array;
  /** Done, but not yet committed. */
  private readonly uncommittedTasks = new Set<number>();
  private doneCount = 0;

  constructor(private readonly taskCount: number) {
    this.doneBits = new Uint8Array(Math.ceil(taskCount / BITS_PER_BYTE));
  }

  /** Tasks that are done, committed or not. */
  get doneTaskCount(): number {
    return this.doneCount;
  }

  /** True once all tasks are done. */
  get isComplete(): boolean {
    return this.doneCount === this.taskCount;
  }

  /** True if the task is done, committed or not. */
  isDone(index: number): boolean {
    return hasBit(this.doneBits, index);
  }

  /** True if the task is done and the state service has stored that. */
  isCommitted(index: number): boolean {
    return this.isDone(index) && !this.uncommittedTasks.has(index);
  }

  /** Marks a task as done; no effect if it is done already. */
  markDone(index: number): void {
    if (this.isDone(index)) return;
    const byte = Math.floor(index / BITS_PER_BYTE);
    this.doneBits[byte] = (this.doneBits[byte] ?? 0) | (1 << (index % BITS_PER_BYTE));
    this.doneCount++;
    this.uncommittedTasks.add(index);
  }

  /** Marks the tasks in one chunk's stored bits as done and committed; returns their indices. */
  applyStoredChunk(chunk: number, storedBits: string): number[] {
    const bits = Buffer.from(storedBits, 'base64');
    const firstTask = chunk * CHUNK_TASK_COUNT;
    const committed: number[] = [];
    for (let bit = 0; bit < bits.length * BITS_PER_BYTE; bit++) {
      const index = firstTask + bit;
      if (index >= this.taskCount) break;
      if (!hasBit(bits, bit)) continue;
      this.markDone(index);
      this.uncommittedTasks.delete(index);
      committed.push(index);
    }
    return committed;
  }

  /** Encodes one chunk for storage: one bit per task, in base64. */
  encodeChunk(chunk: number): string {
    const chunkByteCount = CHUNK_TASK_COUNT / BITS_PER_BYTE;
    const firstByte = chunk * chunkByteCount;
    const bits = this.doneBits.subarray(firstByte, firstByte + chunkByteCount);
    return Buffer.from(bits).toString('base64');
  }

  /** Numbers of all chunks. */
  chunks(): number[] {
    return Array.from({ length: chunkOf(this.taskCount - 1) + 1 }, (_, chunk) => chunk);
  }

  /** Numbers of the chunks that have tasks done but not committed. */
  uncommittedChunks(): Set<number> {
    return new Set([...this.uncommittedTasks].map(chunkOf));
  }
}

const hasBit = (bits: Uint8Array, bit: number): boolean =>
  ((bits[Math.floor(bit / BITS_PER_BYTE)] ?? 0) & (1 << (bit % BITS_PER_BYTE))) !== 0;

const chunkOf = (index: number): number => Math.floor(index / CHUNK_TASK_COUNT);
