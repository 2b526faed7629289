/** Stores the ends of jobs and the progress of their tasks. */
import type { Precondition, Write } from '@tealdock/wire';
import { priorityRank } from '@tealdock/scheduler';
import { endOf, type JobEnd } from '../jobs/job-end-reader.js';
import { endedKey, specKey } from '../state/keys.js';
import type { Leadership } from '../leadership/leadership.js';
import type { LiveJob } from '../jobs/live-job.js';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';
import { TransactionBudget } from '../state/transaction-budget.js';
import { endedValue, readEnded, type EndedValue } from '../state/stored-values.js';
import type { LiveJobs } from './live-jobs.js';
import type { StrayKeys } from './stray-keys.js';
import type { TermStatus } from './term-view.js';

/** Interval between checks for jobs whose end can be committed. */
const FLUSH_INTERVAL_MS = 250;
/** Interval at which progress of unfinished jobs is queued; one write holds that of many jobs. */
const PROGRESS_INTERVAL_MS = 1000;
/** Ends that the state service refused as invalid are tried again after this time. */
const INVALID_END_RETRY_MS = 30_000;

/** The part of a term that job completion needs. */
export interface CompletionTerm extends TermStatus {
  readonly liveJobs: LiveJobs;
  readonly strayKeys: StrayKeys;
}

/** The end of one job as part of a transaction. */
interface JobEndCommit {
  job: LiveJob;
  value: EndedValue;
  precondition: Precondition;
  writes: Write[];
}

/**
 * Commits completed tasks in batches. Until its commit a job is not shown as done, and workers get
 * no command to forget its completed tasks. A job whose tasks are all done moves from its live key
 * to its ended key in one transaction. The precondition on the version of the live key ensures
 * that either this transaction or a concurrent cancellation succeeds, but not both.
 */
export class JobCompletion {
  private commitInFlight = false;
  /** Jobs whose tasks are all done, in the order in which this term found them complete. */
  private readonly completedJobs = new Set<LiveJob>();
  /** Most ends in one transaction; lowered when the state service refuses one as invalid. */
  private maxEndCount = Infinity;
  /** Jobs whose end was refused as invalid on its own; they must not hold up the others. */
  private readonly setAside = new Set<string>();

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly leadership: Leadership,
    private readonly term: CompletionTerm,
  ) {}

  /** Commits ends and queues progress periodically until the term closes. */
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
      if (committed.kind === 'conflict') this.applyStoredEnds(batch);
      if (committed.kind === 'invalid') this.handleInvalid(batch);
      if (committed.kind !== 'ok') return;
      this.maxEndCount = Infinity;
      for (const { job, value } of batch) {
        this.applyEnd(job, { ...value, revision: committed.revision });
      }
      // More ends may be waiting than fit into one transaction.
      if (!this.term.closed && this.leadership.validLease()) this.flush();
    });
  }

  /** The next ends of jobs, at most as many as fit into one transaction. */
  private nextBatch(): JobEndCommit[] {
    const budget = new TransactionBudget(this.runtime.settings.state);
    budget.take([this.leadership.leaderPrecondition()], []);
    const batch: JobEndCommit[] = [];
    for (const job of this.jobsToEnd()) {
      if (this.setAside.has(job.id)) continue;
      const commit = this.commitFor(job);
      if (batch.length >= this.maxEndCount || !budget.take([commit.precondition], commit.writes))
        break;
      batch.push(commit);
    }
    return batch;
  }

  /**
   * Handles a transaction that would be refused each time: the next one has half as many ends. A
   * single end is set aside for a while.
   */
  private handleInvalid(batch: JobEndCommit[]): void {
    const jobs = batch.map(({ job }) => job.id);
    this.runtime.stats.count('ends.invalid');
    this.runtime.log('error', { jobs }, 'ends of jobs refused as invalid');
    this.maxEndCount = Math.max(1, Math.floor(batch.length / 2));
    if (jobs.length > 1) return;
    for (const job of jobs) {
      this.setAside.add(job);
      this.runtime.after(INVALID_END_RETRY_MS, () => this.setAside.delete(job));
    }
  }

  /**
   * Jobs to end, in the order of their commits. Jobs that others depend on come first, by urgency:
   * if the state service allows few writes, ends queue up, and dependents are released only by the
   * commit. The other completed jobs follow in the order in which they were completed, so that none
   * waits for long. Jobs with a cancelled predecessor come last, because any node that is asked for
   * the state of such a job ends it itself.
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

  /** Removes a few stray keys at a time; called only when no ends are to be committed. */
  private removeStrayKeys(): void {
    if (this.term.strayKeys.isEmpty) return;
    this.commitInFlight = true;
    this.term.strayKeys.removeBatch(() => (this.commitInFlight = false));
  }

  /**
   * Handles a conflict: some job of the batch has ended already, or leadership is lost. Reads the
   * ended keys and applies the ends found there. Another node may have written them, or an earlier
   * commit of this leader whose response was lost.
   */
  private applyStoredEnds(batch: JobEndCommit[]): void {
    for (const { job } of batch) {
      this.state.getValue(endedKey(job.id), readEnded, PRIORITY.leader, (read) => {
        if (read.kind === 'found') this.applyEnd(job, endOf(read));
      });
    }
  }

  /** Builds the commit for a job whose tasks are all done or that has a cancelled predecessor. */
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

/** Sorts by higher priority, then by earlier due time; both take dependents into account. */
function byUrgency(a: LiveJob, b: LiveJob): number {
  const byPriority = priorityRank(b.spec) - priorityRank(a.spec);
  if (byPriority !== 0 || a.finishBy === b.finishBy) return byPriority;
  return a.finishBy - b.finishBy;
}
