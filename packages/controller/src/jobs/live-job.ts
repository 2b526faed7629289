/** A job that has not ended, as the leader knows it. */
import { predecessorsOf, type Instant, type JobSpec } from '@tealdock/wire';
import type { DependentDemand } from '@tealdock/scheduler';
import type { Binding } from './binding.js';
import { FailureBackoff } from './failure-backoff.js';
import { JobDependencies } from './job-dependencies.js';
import { OpenTasks } from './open-tasks.js';
import { TaskProgress } from './task-progress.js';

/** State of a job carried from one scheduling cycle to the next; nothing else uses it. */
interface PlacementState {
  /** When a task first found no machine since the last assignment; null if none has. */
  unplacedSince: Instant | null;
  /**
   * When the job began to wait for a machine that holds its image; each assignment to such a
   * machine sets it to the time of the assignment. Null before either has happened.
   */
  imageHolderWaitSince: Instant | null;
  /** Earliest time of the job's next preemption plan, since plans are expensive. */
  nextPreemptionPlanAt: Instant;
  /** For a gang that must run in one zone: the zone found to fit it, null without one. */
  gangZone: string | null;
}

/** An accepted job that has not ended. */
export class LiveJob {
  readonly progress: TaskProgress;
  readonly openTasks: OpenTasks;
  readonly dependencies: JobDependencies;
  readonly backoff = new FailureBackoff();
  readonly placement: PlacementState = {
    unplacedSince: null,
    imageHolderWaitSince: null,
    nextPreemptionPlanAt: 0,
    gangZone: null,
  };
  private readonly boundTasks = new Map<number, Binding>();
  private readonly attemptCounts = new Map<number, number>();
  private effectiveSpec: JobSpec;
  private effectiveFinishBy: Instant;

  constructor(
    /** The spec as accepted and stored. */
    readonly acceptedSpec: JobSpec,
    /** Version of the job's live key. */
    readonly version: number,
    /** Time of the submission, on this process's monotonic clock. */
    readonly submittedAt: Instant,
  ) {
    this.effectiveSpec = acceptedSpec;
    this.progress = new TaskProgress(acceptedSpec.taskCount);
    this.openTasks = new OpenTasks(acceptedSpec.taskCount);
    this.dependencies = new JobDependencies(predecessorsOf(acceptedSpec), submittedAt, version);
    this.effectiveFinishBy = this.ownFinishBy;
  }

  get id(): string {
    return this.acceptedSpec.id;
  }

  /** The accepted spec with the highest priority among the job's own and its dependents'. */
  get spec(): JobSpec {
    return this.effectiveSpec;
  }

  /**
   * When the job has to end to meet its own deadline and leave its dependents time for theirs;
   * Infinity without a deadline.
   */
  get finishBy(): Instant {
    return this.effectiveFinishBy;
  }

  /** The job's own deadline, which counts from the submission; Infinity without one. */
  get ownFinishBy(): Instant {
    return this.submittedAt + (this.acceptedSpec.deadline ?? Infinity);
  }

  /** Applies the priority and the deadline inherited from the dependents. */
  applyDependentDemand({ priority, finishBy }: DependentDemand): void {
    this.effectiveFinishBy = finishBy;
    if (priority !== this.spec.priority) this.effectiveSpec = { ...this.acceptedSpec, priority };
  }

  /** Bindings of its tasks by task index, at most one for each task. */
  get bindings(): ReadonlyMap<number, Binding> {
    return this.boundTasks;
  }

  /** Number of tasks neither done nor bound to a machine; 0 until the job is released. */
  get unboundTaskCount(): number {
    if (!this.dependencies.isReleased) return 0;
    return this.spec.taskCount - this.progress.doneTaskCount - this.boundTasks.size;
  }

  /** Number of tasks that have their image and have not exited, for display. */
  countRunning(): number {
    let count = 0;
    for (const binding of this.boundTasks.values()) if (!binding.mayNeedImageFetch) count++;
    return count;
  }

  /** True if the job has a task with this index that is neither done nor bound to a machine. */
  needsTask(index: number): boolean {
    return index < this.spec.taskCount && this.isWaiting(index);
  }

  /** Records that the task is done; no effect if that is known already. */
  markDone(index: number): void {
    this.progress.markDone(index);
    this.openTasks.close(index);
  }

  /** Applies the stored completion bits of one chunk of tasks. */
  applyStoredProgress(chunk: number, storedBits: string): void {
    for (const index of this.progress.applyStoredChunk(chunk, storedBits))
      this.openTasks.close(index);
  }

  /** Records that the binding's task is on a machine, or assigned to one. */
  bind(binding: Binding): void {
    this.openTasks.close(binding.index);
    this.boundTasks.set(binding.index, binding);
  }

  /**
   * Records that the binding has ended: its task waits again unless it is done. No effect if the
   * task is not bound by this binding.
   */
  unbind(binding: Binding): void {
    if (this.boundTasks.get(binding.index) !== binding) return;
    this.boundTasks.delete(binding.index);
    if (!this.progress.isDone(binding.index)) this.openTasks.requeue(binding.index);
  }

  /** Opens volunteer windows for waiting tasks, once the job is released. */
  openWindows(now: Instant): void {
    const { isReleased, hasCancelledPredecessor } = this.dependencies;
    if (!isReleased || hasCancelledPredecessor) return;
    this.openTasks.openWindows({
      now,
      isGang: this.spec.kind === 'gang',
      isWaiting: (index) => this.isWaiting(index),
    });
  }

  /** Returns the number of the next attempt at the task in this term; the first is 1. */
  nextAttempt(index: number): number {
    const count = (this.attemptCounts.get(index) ?? 0) + 1;
    this.attemptCounts.set(index, count);
    return count;
  }

  private isWaiting(index: number): boolean {
    return !this.progress.isDone(index) && !this.boundTasks.has(index);
  }
}
