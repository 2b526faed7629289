/** Commits the ends of jobs and the progress of their tasks. */
import type { Precondition, Write } from '@tealdock/wire';
import { priorityRank } from '@tealdock/scheduler';
import { endOf, type JobEnd } from '../jobs/job-end-reader.js';
import { endedKey, specKey } from '../state/keys.js';
import type { Leadership } from '../leadership/leadership.js';
import type { LiveJob } from '../jobs/live-job.js';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';
import { endedValue, readEnded, type EndedValue } from '../state/stored-values.js';
import type { LiveJobs } from './live-jobs.js';
import type { StrayKeys } from './stray-keys.js';
import type { TermStatus } from './term-view.js';

/** How often completed jobs are looked for. */
const FLUSH_INTERVAL_MS = 250;
/** How often progress of jobs that go on is queued: one write holds that of many jobs. */
const PROGRESS_INTERVAL_MS = 1000;
/** An end puts the ended key and removes the live one. */
const END_WRITE_COUNT = 2;

/** What the completion of jobs needs of a term. */
export interface CompletionTerm extends TermStatus {
  readonly liveJobs: LiveJobs;
  readonly strayKeys: StrayKeys;
}

/** The end of one job, to be committed. */
interface JobEndCommit {
  job: LiveJob;
  value: EndedValue;
  precondition: Precondition;
  writes: Write[];
}

/**
 * Commits completed tasks in batches. Until then a job does not show as done, and no worker is
 * told to forget such a task. A job whose tasks are all done moves from the live keys to the ended
 * ones in one transaction; the version of its live key decides between that and a cancellation.
 */
export class JobCompletion {
  private commitInFlight = false;
  /** Jobs whose tasks are all done, in the order in which that was seen. */
  private readonly completedJobs = new Set<LiveJob>();

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly leadership: Leadership,
    private readonly term: CompletionTerm,
  ) {}

  /** Runs until the term closes. */
  start(): void {
    this.repeat(FLUSH_INTERVAL_MS, () => this.flush());
    this.repeat(PROGRESS_INTERVAL_MS, () => this.storeProgress());
  }

  private repeat(intervalMs: number, run: () => void): void {
    this.runtime.every(intervalMs, () => {
      if (!this.term.closed && this.term.stateLoaded && this.leadership.validLease()) run();
      return !this.term.closed;
    });
  }

  private flush(): void {
    if (this.commitInFlight) return;
    const batch = this.nextBatch();
    if (batch.length === 0) return this.removeStrayKeys();
    this.commitInFlight = true;
    const preconditions = [
      this.leadership.leaderPrecondition(),
      ...batch.map(({ precondition }) => precondition),
    ];
    const writes = batch.flatMap(({ writes }) => writes);
    this.state.compareAndSwap(preconditions, writes, PRIORITY.leader, (committed) => {
      this.commitInFlight = false;
      if (committed.kind === 'conflict') this.applyEndsByOthers(batch);
      if (committed.kind !== 'ok') return;
      for (const { job, value } of batch) {
        this.applyEnd(job, { ...value, revision: committed.revision });
      }
      // More jobs may be complete than one transaction takes.
      if (!this.term.closed && this.leadership.validLease()) this.flush();
    });
  }

  /** The next ends, as many as one transaction takes. */
  private nextBatch(): JobEndCommit[] {
    const { maxTransactionWrites } = this.runtime.settings.state;
    const maxEndCount = Math.floor(maxTransactionWrites / END_WRITE_COUNT);
    return this.jobsToEnd()
      .slice(0, maxEndCount)
      .map((job) => this.commitFor(job));
  }

  /**
   * Jobs that other jobs wait for come first, the most urgent of them before the rest: where
   * the state service allows few changes, ends queue up, and a release waits for its end.
   * The others follow in the order in which they were completed, so that none waits for long.
   * Cancelled dependents come last, since a node that is asked about one ends it by itself.
   */
  private jobsToEnd(): LiveJob[] {
    const cancelled: LiveJob[] = [];
    for (const job of this.term.liveJobs.jobs.values()) {
      if (job.dependencies.hasCancelledPredecessor) cancelled.push(job);
      else if (job.progress.isComplete) this.completedJobs.add(job);
    }
    const awaited: LiveJob[] = [];
    const others: LiveJob[] = [];
    for (const job of this.completedJobs) {
      if (this.term.liveJobs.jobs.get(job.id) !== job) this.completedJobs.delete(job);
      else if (this.term.liveJobs.graph.isAwaited(job.id)) awaited.push(job);
      else others.push(job);
    }
    return [...awaited.sort(byUrgency), ...others, ...cancelled];
  }

  private applyEnd(job: LiveJob, end: JobEnd): void {
    this.term.liveJobs.deleteProgress(job);
    this.term.liveJobs.endJob(job.id, end);
  }

  private storeProgress(): void {
    for (const job of this.term.liveJobs.jobs.values()) {
      if (!job.progress.isComplete) this.term.liveJobs.storeProgress(job);
    }
  }

  /** A few at a time, while there is nothing else to commit. */
  private removeStrayKeys(): void {
    if (this.term.strayKeys.isEmpty) return;
    this.commitInFlight = true;
    this.term.strayKeys.removeBatch(() => (this.commitInFlight = false));
  }

  /**
   * Some job of the batch has ended already, or leadership is lost. Whoever ended a job wrote its
   * ended key; that may have been an earlier commit of this leader that got no answer.
   */
  private applyEndsByOthers(batch: JobEndCommit[]): void {
    for (const { job } of batch) {
      this.state.getValue(endedKey(job.id), readEnded, PRIORITY.leader, (got) => {
        if (got.kind === 'found') this.applyEnd(job, endOf(got));
      });
    }
  }

  /** The end of a job whose tasks are all done, or which depends on a cancelled job. */
  private commitFor(job: LiveJob): JobEndCommit {
    const { maxValueBytes } = this.runtime.settings.state;
    const state = job.dependencies.hasCancelledPredecessor ? 'cancelled' : 'done';
    const value = endedValue(state, job.acceptedSpec, this.runtime.wallClock, maxValueBytes);
    return {
      job,
      value,
      precondition: { key: specKey(job.id), version: job.version },
      writes: [{ put: endedKey(job.id), value }, { remove: specKey(job.id) }],
    };
  }
}

/** The higher priority first, then the earlier due time; both include those of dependents. */
function byUrgency(a: LiveJob, b: LiveJob): number {
  const byPriority = priorityRank(b.spec) - priorityRank(a.spec);
  if (byPriority !== 0 || a.finishBy === b.finishBy) return byPriority;
  return a.finishBy - b.finishBy;
}
