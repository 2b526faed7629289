/** What one job waits for before any of its tasks may start. */
import type { Instant } from '@tealdock/wire';

/** The end of one predecessor that was done. */
interface DonePredecessor {
  readonly id: string;
  /** When it was done, on this process's steady clock; -Infinity where that is not known. */
  readonly doneAt: Instant;
  /** Revision of the commit that wrote its ended key. */
  readonly revision: number;
}

/** A job is released once all its predecessors are known to be done. */
export class JobDependencies {
  private readonly pending: Set<string>;
  private releasedAt: Instant | null;
  /** When the last of the predecessors that are known to be done was. */
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

  /** Jobs that this one waits for, and that are not known to be done. */
  get pendingPredecessors(): ReadonlySet<string> {
    return this.pending;
  }

  /** True once no predecessor is pending. */
  get isReleased(): boolean {
    return this.releasedAt !== null;
  }

  /**
   * From when on the tasks could start, on this process's steady clock: the later of the
   * submission and the last predecessor's end. Infinity until the job is released.
   */
  get startableAt(): Instant {
    return this.releasedAt ?? Infinity;
  }

  /**
   * Before this revision no leader can have started a task of the job: its own key, or the
   * ended key of a predecessor, was written then.
   */
  get startableSinceRevision(): number {
    return this.minStartRevision;
  }

  /** A job that it needs was cancelled: it never starts and ends as cancelled. */
  get hasCancelledPredecessor(): boolean {
    return this.isCancelled;
  }

  /** Returns true if the job is released by it. Another leader computes the same instants. */
  recordPredecessorDone({ id, doneAt, revision }: DonePredecessor): boolean {
    this.pending.delete(id);
    this.lastPredecessorDoneAt = Math.max(this.lastPredecessorDoneAt, doneAt);
    this.minStartRevision = Math.max(this.minStartRevision, revision);
    if (this.pending.size > 0 || this.isCancelled) return false;
    this.releasedAt = Math.max(this.submittedAt, this.lastPredecessorDoneAt);
    return true;
  }

  /** A job that it needs, directly or through others, was cancelled. */
  recordPredecessorCancelled(): void {
    this.isCancelled = true;
  }
}
