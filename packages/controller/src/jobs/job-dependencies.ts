/** Predecessors of one job; all must be done before any of its tasks may start. */
import type { Instant } from '@tealdock/wire';

/** A predecessor that has ended as done. */
interface DonePredecessor {
  readonly id: string;
  /** When it was done, on this process's monotonic clock; -Infinity if unknown. */
  readonly doneAt: Instant;
  /** Revision of the commit that wrote its ended key. */
  readonly revision: number;
}

/** Tracks the predecessors of a job, which is released once all are known to be done. */
export class JobDependencies {
  private readonly pending: Set<string>;
  private releasedAt: Instant | null;
  /** Latest end among the predecessors known to be done; -Infinity without one. */
  private lastPredecessorDoneAt: Instant = -Infinity;
  private minStartRevision: number;
  private isCancelled = false;

  constructor(
    predecessors: readonly string[],
    private readonly submittedAt: Instant,
    submittedRevision: number,
  ) {
    this.pending = new Set(predecessors);
    this.releasedAt = this.pending.size === 0 ? submittedAt : null;
    this.minStartRevision = submittedRevision;
  }

  /** Ids of the predecessors that are not known to be done. */
  get pendingPredecessors(): ReadonlySet<string> {
    return this.pending;
  }

  /** True once no predecessor is pending. */
  get isReleased(): boolean {
    return this.releasedAt !== null;
  }

  /**
   * Earliest instant at which the tasks could start, on this process's monotonic clock: the later
   * of the submission and the last predecessor's end. Infinity until the job is released.
   */
  get startableAt(): Instant {
    return this.releasedAt ?? Infinity;
  }

  /**
   * Newest revision at which the job's live key, or the ended key of a predecessor, was written. No
   * leader can have started a task of the job before it.
   */
  get startableSinceRevision(): number {
    return this.minStartRevision;
  }

  /** True once a direct or indirect predecessor was cancelled: the job is cancelled unstarted. */
  get hasCancelledPredecessor(): boolean {
    return this.isCancelled;
  }

  /**
   * Records that a predecessor is done; returns true if that releases the job. The time of the
   * release follows from stored times, so that every leader computes the same one.
   */
  recordPredecessorDone({ id, doneAt, revision }: DonePredecessor): boolean {
    this.pending.delete(id);
    this.lastPredecessorDoneAt = Math.max(this.lastPredecessorDoneAt, doneAt);
    this.minStartRevision = Math.max(this.minStartRevision, revision);
    if (this.pending.size > 0 || this.isCancelled) return false;
    this.releasedAt = Math.max(this.submittedAt, this.lastPredecessorDoneAt);
    return true;
  }

  /** Records that a direct or indirect predecessor was cancelled. */
  recordPredecessorCancelled(): void {
    this.isCancelled = true;
  }
}
