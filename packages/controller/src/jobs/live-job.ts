/** A job that has not ended, as the leader knows it. */
import { predecessorsOf, type Instant, type JobSpec } from '@tealdock/wire';
import type { DependentDemand } from '@tealdock/scheduler';
import { CHUNK_TASK_COUNT } from '../state/keys.js';
import type { Binding } from './binding.js';

/** A task that has opened its window. */
export interface OpenTask {
  index: number;
  windowOpenedAt: Instant;
}

/** Tasks of one job with an open window at a time; the rest costs no memory. */
const MOST_OPEN = 256;

/** An accepted job that has not ended, as the leader sees it. */
export class LiveJob {
  readonly openTasks = new Map<number, OpenTask>();
  readonly bindings = new Map<number, Binding>();
  /** Done, but not yet committed. */
  readonly uncommittedTasks = new Set<number>();
  doneCount = 0;
  /** Failures in a row on different machines; a mistaken job fails everywhere. */
  consecutiveFailures = 0;
  backoffUntil: Instant = 0;
  /** First instant of this term at which a task found no room. */
  starvedSince: Instant | null = null;
  /** Since when its tasks wait for a holder of the image; starts anew with each that got one. */
  imageHolderWaitSince: Instant | null = null;
  /** When room may be made for it next: plans for that are dear. */
  nextPreemptionPlanAt: Instant = 0;
  /** The zone that was found to fit all of a gang that may use only one. */
  gangZone: string | null = null;
  /** Jobs that are not known to be done, and that it waits for. */
  readonly pendingPredecessors: Set<string>;
  /** When its tasks were released, on this process's steady clock; aims count from there. */
  releasedAt: Instant | null;
  /** When the last of its predecessors that are known to be done was. */
  lastPredecessorDoneAt: Instant = -Infinity;
  /**
   * Before this revision no leader can have started a task of it: its own key, or the ended
   * key of a predecessor, was written then.
   */
  startableSinceRevision: number;
  /** A job that it needs was cancelled: it never starts and ends as cancelled. */
  predecessorCancelled = false;
  /** When its end is due for the sake of all that need it, and for its own. */
  finishBy: Instant;
  /** As accepted, but with the highest priority among itself and all that need it. */
  spec: JobSpec;
  private readonly doneBits: Uint8Array;
  private readonly requeuedTasks: number[] = [];
  private readonly attempts = new Map<number, number>();
  private nextTaskIndex = 0;

  constructor(
    /** As accepted and stored. */
    readonly accepted: JobSpec,
    readonly version: number,
    /** Submission, on this process's steady clock. */
    readonly submittedAt: Instant,
  ) {
    this.spec = accepted;
    this.startableSinceRevision = version;
    this.doneBits = new Uint8Array(Math.ceil(accepted.taskCount / 8));
    this.pendingPredecessors = new Set(predecessorsOf(accepted));
    this.releasedAt = this.pendingPredecessors.size === 0 ? submittedAt : null;
    this.finishBy = this.ownFinishBy;
  }

  /** By its own deadline, which counts from the submission however long it waits. */
  get ownFinishBy(): Instant {
    return this.submittedAt + (this.accepted.deadline ?? Infinity);
  }

  /** Since when its tasks may start; for a job that still waits, now is too early. */
  get startableAt(): Instant {
    return this.releasedAt ?? Infinity;
  }

  applyDependentDemand({ priority, finishBy }: DependentDemand): void {
    this.finishBy = finishBy;
    if (priority !== this.spec.priority) this.spec = { ...this.accepted, priority };
  }

  get id(): string {
    return this.spec.id;
  }

  get complete(): boolean {
    return this.doneCount === this.spec.taskCount;
  }

  /** Tasks neither done nor bound to a machine. */
  get unboundTaskCount(): number {
    if (this.releasedAt === null) return 0;
    return this.spec.taskCount - this.doneCount - this.bindings.size;
  }

  isDone(index: number): boolean {
    return ((this.doneBits[index >> 3] ?? 0) & (1 << (index & 7))) !== 0;
  }

  markDone(index: number): boolean {
    if (this.isDone(index)) return false;
    this.doneBits[index >> 3] = (this.doneBits[index >> 3] ?? 0) | (1 << (index & 7));
    this.doneCount++;
    this.openTasks.delete(index);
    this.uncommittedTasks.add(index);
    return true;
  }

  /** What the state service holds of one chunk is done, and is committed. */
  applyStoredProgress(chunk: number, bits: string): void {
    const bytes = Buffer.from(bits, 'base64');
    const base = chunk * CHUNK_TASK_COUNT;
    for (let i = 0; i < bytes.length * 8 && base + i < this.spec.taskCount; i++) {
      if (((bytes[i >> 3] ?? 0) & (1 << (i & 7))) === 0) continue;
      this.markDone(base + i);
      this.uncommittedTasks.delete(base + i);
    }
  }

  /** One bit a task of the chunk, base64. */
  chunkBits(chunk: number): string {
    const from = (chunk * CHUNK_TASK_COUNT) / 8;
    return Buffer.from(this.doneBits.subarray(from, from + CHUNK_TASK_COUNT / 8)).toString(
      'base64',
    );
  }

  /** Tasks that run, for display. */
  countRunning(): number {
    let running = 0;
    for (const binding of this.bindings.values()) {
      if (!binding.mayNeedImageFetch) running++;
    }
    return running;
  }

  chunkOf(index: number): number {
    return Math.floor(index / CHUNK_TASK_COUNT);
  }

  dirtyChunks(): Set<number> {
    const chunks = new Set<number>();
    for (const i of this.uncommittedTasks) chunks.add(this.chunkOf(i));
    return chunks;
  }

  chunks(): number[] {
    return Array.from({ length: this.chunkOf(this.spec.taskCount - 1) + 1 }, (_, i) => i);
  }

  /** Opens windows for the tasks once the job is released. */
  openWindows(now: Instant): void {
    if (this.releasedAt === null || this.predecessorCancelled) return;
    const most = this.spec.kind === 'gang' ? Infinity : MOST_OPEN;
    while (this.openTasks.size < most) {
      const index = this.requeuedTasks.pop() ?? this.takeNext();
      if (index === undefined) return;
      if (!this.isDone(index) && !this.bindings.has(index))
        this.openTasks.set(index, { index, windowOpenedAt: now });
    }
  }

  /** The binding's task is on a machine, or on its way there. */
  bind(binding: Binding): void {
    this.openTasks.delete(binding.index);
    this.bindings.set(binding.index, binding);
  }

  /** The task goes back to the start of the queue, unless another binding has replaced this. */
  unbind(binding: Binding): void {
    if (this.bindings.get(binding.index) !== binding) return;
    this.bindings.delete(binding.index);
    if (!this.isDone(binding.index)) this.requeuedTasks.push(binding.index);
  }

  /** Counts the attempts of this term at one task. */
  nextAttempt(index: number): number {
    const count = (this.attempts.get(index) ?? 0) + 1;
    this.attempts.set(index, count);
    return count;
  }

  private takeNext(): number | undefined {
    return this.nextTaskIndex < this.spec.taskCount ? this.nextTaskIndex++ : undefined;
  }
}
