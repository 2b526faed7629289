/** A job that has not ended, as the leader knows it. */
import { predecessorsOf, type Instant, type JobSpec } from '@tealdock/wire';
import type { DependentDemand } from '@tealdock/scheduler';
import type { Binding } from './binding.js';
import { FailureBackoff } from './failure-backoff.js';
import { JobDependencies } from './job-dependencies.js';
import { OpenTasks } from './open-tasks.js';
import { TaskProgress } from './task-progress.js';

/** What the scheduling cycles note of a job from one to the next. Only they use it. */
interface PlacementState {
  /** First instant of this term at which a task found no capacity; null once one was placed. */
  starvedSince: Instant | null;
  /** Since when tasks wait for a machine with the image; starts anew with each that got one. */
  imageHolderWaitSince: Instant | null;
  /** Preemption is not planned for the job before this; plans are expensive. */
  nextPreemptionPlanAt: Instant;
  /** The zone that was found to fit all of a gang that may use only one. */
  gangZone: string | null;
}

/** An accepted job that has not ended. */
export class LiveJob {
  readonly progress: TaskProgress;
  readonly openTasks: OpenTasks;
  readonly dependencies: JobDependencies;
  readonly backoff = new FailureBackoff();
  readonly placement: PlacementState = {
    starvedSince: null,
    imageHolderWaitSince: null,
    nextPreemptionPlanAt: 0,
    gangZone: null,
  };
  private readonly boundTasks = new Map<number, Binding>();
  private readonly attemptCounts = new Map<number, number>();
  private effectiveSpec: JobSpec;
  private effectiveFinishBy: Instant;

  constructor(
    /** As accepted and stored. */
    readonly acceptedSpec: JobSpec,
    /** Version of the job's key. */
    readonly version: number,
    /** Submission, on this process's steady clock. */
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

  /** As accepted, but with the highest priority among itself and all that need it. */
  get spec(): JobSpec {
    return this.effectiveSpec;
  }

  /** When its end is due for the sake of all that need it, and for its own. */
  get finishBy(): Instant {
    return this.effectiveFinishBy;
  }

  /** By its own deadline, which counts from the submission; Infinity without a deadline. */
  get ownFinishBy(): Instant {
    return this.submittedAt + (this.acceptedSpec.deadline ?? Infinity);
  }

  /** Takes over the priority and the due time that its dependents ask for. */
  applyDependentDemand({ priority, finishBy }: DependentDemand): void {
    this.effectiveFinishBy = finishBy;
    if (priority !== this.spec.priority) this.effectiveSpec = { ...this.acceptedSpec, priority };
  }

  /** Bindings of its tasks by task index, at most one for each task. */
  get bindings(): ReadonlyMap<number, Binding> {
    return this.boundTasks;
  }

  /** Tasks neither done nor bound to a machine; 0 until the job is released. */
  get unboundTaskCount(): number {
    if (!this.dependencies.isReleased) return 0;
    return this.spec.taskCount - this.progress.doneTaskCount - this.boundTasks.size;
  }

  /** Tasks that run, for display. */
  countRunning(): number {
    let count = 0;
    for (const binding of this.boundTasks.values()) if (!binding.mayNeedImageFetch) count++;
    return count;
  }

  /** True if the task is one of the job's, and is neither done nor bound to a machine. */
  needsTask(index: number): boolean {
    return index < this.spec.taskCount && this.isWaiting(index);
  }

  /** The task's result is known. Has no effect if it was known before. */
  markDone(index: number): void {
    this.progress.markDone(index);
    this.openTasks.close(index);
  }

  /** Takes over the stored progress of one chunk of tasks. */
  applyStoredProgress(chunk: number, storedBits: string): void {
    for (const index of this.progress.applyStoredChunk(chunk, storedBits))
      this.openTasks.close(index);
  }

  /** The binding's task is on a machine, or on its way there. */
  bind(binding: Binding): void {
    this.openTasks.close(binding.index);
    this.boundTasks.set(binding.index, binding);
  }

  /** The binding has ended. Its task waits again, unless it is done or bound otherwise. */
  unbind(binding: Binding): void {
    if (this.boundTasks.get(binding.index) !== binding) return;
    this.boundTasks.delete(binding.index);
    if (!this.progress.isDone(binding.index)) this.openTasks.requeue(binding.index);
  }

  /** Opens windows for waiting tasks once the job is released. */
  openWindows(now: Instant): void {
    const { isReleased, hasCancelledPredecessor } = this.dependencies;
    if (!isReleased || hasCancelledPredecessor) return;
    this.openTasks.openWindows({
      now,
      isGang: this.spec.kind === 'gang',
      isWaiting: (index) => this.isWaiting(index),
    });
  }

  /** Counts the attempts of this term at one task; the first is 1. */
  nextAttempt(index: number): number {
    const count = (this.attemptCounts.get(index) ?? 0) + 1;
    this.attemptCounts.set(index, count);
    return count;
  }

  private isWaiting(index: number): boolean {
    return !this.progress.isDone(index) && !this.boundTasks.has(index);
  }
}
